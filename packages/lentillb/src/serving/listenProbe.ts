/** Checks whether a process still listens after a connection to it was lost. */
import { connect } from 'node:net';
import { parseAddress } from '../utils/networkAddress.js';

/** How long the probe waits for a connection, in milliseconds. */
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

/** Tells a process that has ended from a connection that was lost for another reason. */
export class ListenProbe {
  private readonly runningByAddress = new Map<string, Promise<boolean>>();

  /**
   * Checks whether nothing listens at an address any more. All requests that lose their connections
   * at the same moment share one check.
   *
   * @param address - the address and port that the process listened on
   * @returns whether connections are refused
   */
  async hasEnded(address: string): Promise<boolean> {
    const running = this.runningByAddress.get(address) ?? isRefused(address);
    this.runningByAddress.set(address, running);
    const ended = await running;
    this.runningByAddress.delete(address);
    return ended;
  }
}
