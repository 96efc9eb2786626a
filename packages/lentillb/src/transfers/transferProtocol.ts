/** Encodes the reservation of a link for the body of a request, as headers between two nodes. */
import type { IncomingHttpHeaders } from 'node:http';
import type { HeaderFields } from '../calls/callHeaders.js';

const RESERVATION_HEADER = 'lentillb-b';

/**
 * The length from which on a body is sent only once the link of its receiver is reserved, in bytes. A
 * shorter one takes less time on the narrowest link than the round trip of a reservation between zones
 * would add.
 */
export const LARGE_BODY_BYTES = 16_384;

/** The body that a reservation is for. */
export interface Reservation {
  /** The length of the body, in bytes. */
  readonly bytes: number;
  /** The bandwidth of the sender's link in megabits per second, if known. */
  readonly senderMegabits: number | undefined;
  /** Whether the sender is in another availability zone. */
  readonly crossesZones: boolean;
}

/**
 * Encodes a reservation.
 *
 * @param reservation - the body that it is for
 * @returns the header, to be sent with the description of the request
 */
export function reservationHeader(reservation: Reservation): HeaderFields {
  const { bytes, crossesZones, senderMegabits = '' } = reservation;
  return {
    [RESERVATION_HEADER]: `${bytes} ${crossesZones ? '1' : '0'} ${senderMegabits}`.trimEnd(),
  };
}

/**
 * Decodes a reservation.
 *
 * @param headers - the headers of a request of another node
 * @returns the reservation; undefined if the request is not a valid one
 */
export function decodeReservation(headers: IncomingHttpHeaders): Reservation | undefined {
  const value = headers[RESERVATION_HEADER];
  const match =
    typeof value === 'string' ? /^(\d{1,12}) ([01])(?: (\d+(?:\.\d+)?))?$/.exec(value) : null;
  return match === null
    ? undefined
    : {
        bytes: Number(match[1]),
        crossesZones: match[2] === '1',
        senderMegabits: match[3] === undefined ? undefined : Number(match[3]),
      };
}
