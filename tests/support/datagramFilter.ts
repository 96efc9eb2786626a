/** Drops the datagrams to and from one address, while connections to its host go on. */
import { Socket } from 'node:dgram';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { vi } from 'vitest';

/**
 * Drops all datagrams to and from an address.
 *
 * @param address - the address and port of a socket in this process
 * @returns a function that lets datagrams pass again
 */
export function dropDatagrams(address: string): () => void {
  const { port: droppedPort } = parseAddress(address);
  const { send } = Socket.prototype;
  const spy = vi.spyOn(Socket.prototype, 'send').mockImplementation(function sendUnlessDropped(
    this: Socket,
    ...parts: unknown[]
  ) {
    if (parts[1] !== droppedPort && this.address().port !== droppedPort) {
      Reflect.apply(send, this, parts);
    }
  });
  return () => spy.mockRestore();
}
