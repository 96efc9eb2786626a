/** Encodes and checks the announcement of a node and of the backend server on its host. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import * as z from 'zod/mini';
import { isFieldValue } from '../utils/messageHead.js';
import { isNetworkAddress } from '../utils/networkAddress.js';

/** The states of a backend server. Only a ready one accepts requests. */
export const BackendServerState = {
  Ready: 'ready',
  /** The backend server announced its departure or is gone. */
  Leaving: 'leaving',
} as const;
export type BackendServerState = (typeof BackendServerState)[keyof typeof BackendServerState];

/** The longest name of a host, zone, service or backend server, in characters: that of a key. */
const MAX_NAME_LENGTH = 255;
/** The greatest ordering number; half of what can be counted, so that a host can exceed any other's. */
const MAX_ORDINAL = 2 ** 52;
/** The latest time, in Unix milliseconds, that fits into the datagrams of reports. */
const MAX_TIME_MS = 2 ** 48 - 1;
/** The greatest number of requests that a backend server runs at once. */
const MAX_SLOTS = 65_535;
/** The greatest bandwidth of a link, in megabits per second. */
const MAX_LINK_MEGABITS = 1_000_000;
/** The greatest number of interrupted runs in an announcement; several times what a node announces. */
const MAX_INTERRUPTED_RUNS = 64;

/** The longest name of a version, in characters. */
export const MAX_VERSION_LENGTH = MAX_NAME_LENGTH;

/** The schema of a name. */
export const boundedName = z.string().check(z.minLength(1), z.maxLength(MAX_NAME_LENGTH));
/** The schema of the identity of a backend server, which is sent to it in a header. */
export const instanceName = boundedName.check(
  z.refine(isFieldValue, 'expected characters that a header may have'),
);
const ordinal = z.int().check(z.nonnegative(), z.maximum(MAX_ORDINAL));
const unixTimeMs = z.int().check(z.nonnegative(), z.maximum(MAX_TIME_MS));
/** The schema of an IP address and a port. */
export const networkAddress = z
  .string()
  .check(z.refine(isNetworkAddress, 'expected an IP address and a port from 1 to 65535'));

/** The schema of a number of slots. */
export const slotCount = z.int().check(z.positive(), z.maximum(MAX_SLOTS));

const backendServerSchema = z.object({
  /** The identity of this instance of the backend server. */
  id: instanceName,
  /** The start time in Unix milliseconds; a restart under the same identity has a later one. */
  startedAtMs: unixTimeMs,
  service: boundedName,
  slots: slotCount,
  state: z.enum(BackendServerState),
  /** The version of the service that it runs; absent if it states none. */
  version: z.optional(z.string().check(z.minLength(1), z.maxLength(MAX_VERSION_LENGTH))),
  /**
   * Since when the version has served, where that is earlier than the start of this run or was decided
   * by a rollout; absent otherwise.
   */
  introduction: z.optional(
    z.object({
      /** The offset of the rollout order that completed with the version; absent if none did. */
      order: z.optional(ordinal),
      /** The earliest known start of a backend server with the version, in Unix milliseconds. */
      sinceMs: unixTimeMs,
    }),
  ),
});

/** A backend server of the host that ended while it ran a request that is blocked since. */
const interruptedRunSchema = z.object({
  contentHash: z.string().check(z.regex(/^[0-9a-f]{24}$/)),
  runHash: z.uint32(),
  endedAtMs: unixTimeMs,
});

/**
 * The schema of an announcement. Values are bounded, because those of another writer must neither end
 * a node nor outrank all others for ever.
 */
const announcementSchema = z.object({
  /** The address of the host. */
  host: boundedName,
  zone: boundedName,
  /** The address and port at which the gate of the host accepts requests. */
  gateAddress: networkAddress,
  /** The address and port at which the node answers other nodes. */
  peerAddress: networkAddress,
  /** The bandwidth of the host's link in megabits per second, if known. */
  linkMegabits: z.optional(z.number().check(z.nonnegative(), z.maximum(MAX_LINK_MEGABITS))),
  /** Increases with every restart of the node. */
  incarnation: ordinal,
  /** Increases with every announcement within one incarnation. */
  sequence: ordinal,
  backendServer: z.optional(backendServerSchema),
  interruptedRuns: z.optional(
    z.array(interruptedRunSchema).check(z.maxLength(MAX_INTERRUPTED_RUNS)),
  ),
});

/** One instance of a backend server, as its node announces it. */
export type AnnouncedBackendServer = z.infer<typeof backendServerSchema>;

/** An interrupted run, as the node of its host announces it. */
export type AnnouncedInterruptedRun = z.infer<typeof interruptedRunSchema>;

/** The state of one host. */
export type Announcement = z.infer<typeof announcementSchema>;

/**
 * Encodes an announcement for the store and for other nodes.
 *
 * @param announcement - the announcement
 * @returns the JSON text
 */
export function encodeAnnouncement(announcement: Announcement): string {
  return JSON.stringify(announcement);
}

/**
 * Checks an announcement against the schema.
 *
 * @param value - a decoded JSON value
 * @returns the announcement, or why the value is invalid
 */
export function checkAnnouncement(value: unknown): Result<Announcement, string> {
  const checked = announcementSchema.safeParse(value);
  return checked.success ? Ok(checked.data) : Err(z.prettifyError(checked.error));
}

/**
 * Decodes an announcement.
 *
 * @param bytes - the JSON text, in UTF-8
 * @returns the announcement, or why the text is invalid
 */
export function decodeAnnouncement(bytes: Uint8Array): Result<Announcement, string> {
  try {
    return checkAnnouncement(JSON.parse(Buffer.from(bytes).toString('utf8')));
  } catch (error) {
    return Err(`the announcement is not valid JSON: ${(error as Error).message}`);
  }
}

/**
 * Compares two announcements of one host by incarnation, then by sequence.
 *
 * @param left - an announcement of a host
 * @param right - another one of the same host
 * @returns whether the first is newer than the second
 */
export function isNewer(left: Announcement, right: Announcement): boolean {
  return left.incarnation === right.incarnation
    ? left.sequence > right.sequence
    : left.incarnation > right.incarnation;
}
