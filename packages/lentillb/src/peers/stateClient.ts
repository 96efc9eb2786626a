/** Asks another node for its knowledge. */
import { request as openRequest } from 'node:http';
import type { NodeState } from './nodeState.js';
import { decodeNodeState } from './nodeState.js';
import { HELD_VERSION, PeerPath } from './peerListener.js';

/** How long another node may take, in milliseconds: the largest configuration over the smallest link. */
const TIMEOUT_MS = 2_000;

/**
 * @param peerAddress - where a node answers others
 * @param heldVersion - the configuration version that is held already
 * @returns its knowledge; undefined where it did not give it
 */
export function fetchState(
  peerAddress: string,
  heldVersion: number,
): Promise<NodeState | undefined> {
  return new Promise((resolve) => {
    const url = `http://${peerAddress}${PeerPath.State}?${HELD_VERSION}=${heldVersion}`;
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const outgoing = openRequest(url, { signal, agent: false }, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => resolve(undefined));
      response.on('end', () => {
        resolve(decodeNodeState(Buffer.concat(chunks).toString('utf8')).unwrapOr(undefined));
      });
    });
    outgoing.on('error', () => resolve(undefined));
    outgoing.end();
  });
}
