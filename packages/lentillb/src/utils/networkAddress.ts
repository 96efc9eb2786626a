/** Parses addresses of listeners, written as an IP address and a port. */
import { isIP } from 'node:net';

const MAX_PORT = 65_535;
const PORT = /^[1-9]\d{0,4}$/;

/** An IP address and a port. */
export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address into host and port.
 *
 * @param address - an IP address and a port, such as `10.0.0.1:80`
 * @returns the host and the port
 */
export function parseAddress(address: string): NetworkAddress {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/**
 * Checks an address that comes from outside. Sockets throw where an address has no such port.
 *
 * @param address - a text
 * @returns whether it is an IP address and a port that a listener can have
 */
export function isNetworkAddress(address: string): boolean {
  const separator = address.lastIndexOf(':');
  const port = address.slice(separator + 1);
  const isPort = PORT.test(port) && Number(port) <= MAX_PORT;
  return separator > 0 && isIP(address.slice(0, separator)) !== 0 && isPort;
}
