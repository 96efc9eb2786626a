/** Asks another node for its knowledge. */
import { request as openRequest } from 'node:http';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { runInBackground } from '../utils/background.js';
import type { NodeState } from './nodeState.js';
import { decodeNodeState } from './nodeState.js';
import { HELD_VERSION, PeerPath } from './peerListener.js';

/** How long another node may take, in milliseconds: the largest configuration over the smallest link. */
const TIMEOUT_MS = 2_000;

const decompress = promisify(gunzip);

async function decodeCompressed(bytes: Buffer): Promise<Result<NodeState, string>> {
  try {
    return decodeNodeState((await decompress(bytes)).toString('utf8'));
  } catch (error) {
    return Err(`the state of the node is not compressed as expected: ${(error as Error).message}`);
  }
}

/**
 * @param peerAddress - where a node answers others
 * @param heldVersion - the configuration version that is held already
 * @returns its knowledge, or why it did not give it
 */
export function fetchState(
  peerAddress: string,
  heldVersion: number,
): Promise<Result<NodeState, string>> {
  return new Promise((resolve) => {
    const url = `http://${peerAddress}${PeerPath.State}?${HELD_VERSION}=${heldVersion}`;
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const outgoing = openRequest(url, { signal, agent: false }, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', ({ message }) => resolve(Err(message)));
      response.on('end', () => {
        runInBackground(decodeCompressed(Buffer.concat(chunks)).then(resolve));
      });
    });
    outgoing.on('error', ({ message }) => resolve(Err(message)));
    outgoing.end();
  });
}
