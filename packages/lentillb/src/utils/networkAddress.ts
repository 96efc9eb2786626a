/** Addresses of listeners, written as an IP number and a port. */

/** An IP number and a port. */
export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * @param address - an IP number and a port, such as `10.0.0.1:80`
 * @returns its parts
 */
export function parseAddress(address: string): NetworkAddress {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
