/** Parses addresses of listeners, written as an IP address and a port. */

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
