/** Listeners whose addresses can be opened, and opened again after they were lost. */
import type { Server } from 'node:net';
import type { Result } from 'ts-results-es';
import { Ok } from 'ts-results-es';
import { attemptToListen } from './listening.js';
import { parseAddress } from './networkAddress.js';

/** The callbacks of a listener whose address is open. */
export interface AddressEvents {
  /** Called for each error that leaves the address open, such as a connection that could not be accepted. */
  readonly onError: (error: NodeJS.ErrnoException) => void;
  /** Called once the address is closed, for whatever reason. */
  readonly onClosed: () => void;
}

/** A listener on one address. */
export interface AddressListener {
  /** The use of the address, as the log and errors name it. */
  readonly use: string;
  /** The IP address and port. */
  readonly address: string;
  /**
   * Makes one attempt to open the address.
   *
   * @param events - the callbacks once the address is open
   * @returns nothing, or why the address cannot be opened
   */
  open(events: AddressEvents): Promise<Result<void, NodeJS.ErrnoException>>;
  /** Closes the address, if it is open. */
  close(): void;
}

/** The address of a server for connections. */
export class ServerAddress implements AddressListener {
  /**
   * @param use - the use of the address, as the log and errors name it
   * @param address - the IP address and port to listen on
   * @param server - a server that does not listen yet
   * @param backlog - the maximum number of connections that wait to be accepted
   */
  constructor(
    readonly use: string,
    readonly address: string,
    private readonly server: Server,
    private readonly backlog?: number,
  ) {}

  async open({ onClosed, onError }: AddressEvents): Promise<Result<void, NodeJS.ErrnoException>> {
    const { backlog, server } = this;
    const attempt = await attemptToListen(server, { ...parseAddress(this.address), backlog });
    if (attempt.isErr()) {
      return attempt;
    }
    server.on('error', onError);
    server.once('close', () => {
      server.off('error', onError);
      onClosed();
    });
    return Ok(undefined);
  }

  close(): void {
    this.server.close();
  }
}
