/** Asks another node for its knowledge. */
import { request as openRequest } from 'node:http';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { limitBody, limitHead } from '../utils/answerLimits.js';
import { runInBackground } from '../utils/background.js';
import type { NodeState } from './nodeState.js';
import { decodeNodeState } from './nodeState.js';
import { HELD_VERSION_PARAMETER, PeerPath } from './peerListener.js';

/** How long another node may take, in milliseconds: the largest configuration over the smallest link. */
const TIMEOUT_MS = 2_000;
/** The longest answer, in bytes: many times that of 1,600 routes. */
const MAX_COMPRESSED_BYTES = 4 * 1024 * 1024;
/** The longest knowledge, in bytes: a third of the smallest host's memory, with its text. */
const MAX_DECOMPRESSED_BYTES = 32 * 1024 * 1024;

const decompress = promisify(gunzip);

async function decodeCompressed(bytes: Buffer): Promise<Result<NodeState, string>> {
  try {
    return decodeNodeState(
      (await decompress(bytes, { maxOutputLength: MAX_DECOMPRESSED_BYTES })).toString('utf8'),
    );
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
    const url = `http://${peerAddress}${PeerPath.State}?${HELD_VERSION_PARAMETER}=${heldVersion}`;
    const abortOversized = (): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the request and what ends it refer to each other
      outgoing.destroy(new Error('the answer of the node has no end'));
    };
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const outgoing = openRequest(url, { signal, agent: false }, (response) => {
      limitBody(response, MAX_COMPRESSED_BYTES, abortOversized);
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', ({ message }) => resolve(Err(message)));
      response.on('end', () => {
        runInBackground(decodeCompressed(Buffer.concat(chunks)).then(resolve));
      });
    });
    limitHead(outgoing, abortOversized);
    outgoing.on('error', ({ message }) => resolve(Err(message)));
    outgoing.end();
  });
}
