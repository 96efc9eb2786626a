/** Checks whether a backend server still listens after a connection to it was lost. */
import { connect } from 'node:net';
import { parseAddress } from '../utils/networkAddress.js';

/** How long the probe waits for a connection on the same host, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;
const CONNECTION_REFUSED = 'ECONNREFUSED';

async function isRefused(address: string): Promise<boolean> {
  const socket = connect(parseAddress(address));
  const refused = await new Promise<boolean>((resolve) => {
    socket.setTimeout(PROBE_TIMEOUT_MS, () => resolve(false));
    socket.once('connect', () => resolve(false));
    socket.on('error', ({ code }: NodeJS.ErrnoException) => resolve(code === CONNECTION_REFUSED));
  });
  socket.destroy();
  return refused;
}

/** Tells a backend server that has ended from a connection that was lost for another reason. */
export class ListenProbe {
  private running: Promise<boolean> | undefined;

  /**
   * Checks whether nothing listens at an address any more. All requests that lose their connections
   * at the same moment share one check.
   *
   * @param address - the address and port of the backend server
   * @returns whether connections are refused
   */
  async hasEnded(address: string): Promise<boolean> {
    this.running ??= isRefused(address);
    const ended = await this.running;
    this.running = undefined;
    return ended;
  }
}
