/** Fetches the state of another node. */
import { request as openRequest } from 'node:http';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { ChunkBuffer } from '../utils/chunkBuffer.js';
import { onClosedUnanswered } from '../utils/closedUnanswered.js';
import { limitResponseBody, limitResponseHead } from '../utils/responseLimits.js';
import { runInBackground } from '../utils/background.js';
import type { TransferProgress } from '../utils/transferProgress.js';
import type { NodeState } from './nodeState.js';
import { decodeNodeState } from './nodeState.js';
import { HELD_VERSION_PARAMETER, PeerPath } from './stateServer.js';

/** Timeout of a transfer, in milliseconds; the largest configuration must pass the smallest link in it. */
const TIMEOUT_MS = 2_000;
/** Maximum size of a compressed response, in bytes; many times the size of 1,600 routes. */
const MAX_COMPRESSED_BYTES = 4 * 1024 * 1024;
/** Maximum size of the decompressed state, in bytes; with its text a third of the smallest host's memory. */
const MAX_DECOMPRESSED_BYTES = 32 * 1024 * 1024;

const decompress = promisify(gunzip);

async function decodeCompressed(bytes: Buffer): Promise<Result<NodeState, string>> {
  try {
    return decodeNodeState(
      (await decompress(bytes, { maxOutputLength: MAX_DECOMPRESSED_BYTES })).toString('utf8'),
    );
  } catch (error) {
    return Err(`cannot decompress the state of the node: ${(error as Error).message}`);
  }
}

/**
 * Fetches the state of another node.
 *
 * @param peerAddress - the address and port at which the node answers other nodes
 * @param heldVersion - the configuration version in force at this node; 0 if there is none
 * @param progress - tracks the response, by default not at all
 * @returns the state, or why it could not be fetched
 */
export function fetchState(
  peerAddress: string,
  heldVersion: number,
  progress?: TransferProgress,
): Promise<Result<NodeState, string>> {
  return new Promise((resolve) => {
    const url = `http://${peerAddress}${PeerPath.State}?${HELD_VERSION_PARAMETER}=${heldVersion}`;
    const abortOversized = (): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the request and its abort function refer to each other
      outgoing.destroy(new Error('the response of the node exceeds the size limit'));
    };
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const outgoing = openRequest(url, { signal, agent: false }, (response) => {
      limitResponseBody(response, MAX_COMPRESSED_BYTES, abortOversized);
      const chunks = new ChunkBuffer();
      response.on('data', (chunk: Buffer) => {
        chunks.append(chunk);
        progress?.add(chunk.length);
      });
      response.on('error', ({ message }) => resolve(Err(message)));
      response.on('end', () => {
        runInBackground(decodeCompressed(chunks.concat()).then(resolve));
      });
    });
    limitResponseHead(outgoing, abortOversized);
    outgoing.on('error', ({ message }) => resolve(Err(message)));
    onClosedUnanswered(outgoing, () => resolve(Err('the node closed the connection unanswered')));
    outgoing.end();
  });
}
