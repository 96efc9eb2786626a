/**
 * Loaded into a node process before its program: lets its gate listen on another port than the one that
 * it announces, at which a relay listens.
 */
import { Server } from 'node:net';
import type { ListenOptions } from 'node:net';
import { Port } from './ports.js';

type Listen = (options: ListenOptions, ...rest: readonly unknown[]) => Server;

const listen = Server.prototype.listen as Listen;

function listenBehindRelay(
  this: Server,
  options: ListenOptions,
  ...rest: readonly unknown[]
): Server {
  const port = options.port === Port.Inbound ? Port.BehindRelay : options.port;
  return listen.call(this, { ...options, port }, ...rest);
}

Server.prototype.listen = listenBehindRelay as typeof Server.prototype.listen;
