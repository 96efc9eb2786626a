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
import { HELD_VERSION_PARAMETER, HOSTS_PARAMETER, PeerPath, WITHOUT_HOSTS } from './stateServer.js';

/** The time without a byte after which a transfer is given up, in milliseconds. */
const SILENCE_TIMEOUT_MS = 2_000;
/** The maximum duration of a transfer, in milliseconds; the whole state must pass a full link in it. */
const MAX_DURATION_MS = 10_000;
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

/** The parts of a state to fetch. */
export interface StateRequest {
  /** Whether the announcements of all hosts are fetched; true by default. */
  readonly withHosts?: boolean;
  /** Tracks the response, and cancels the transfer; by default not at all. */
  readonly progress?: TransferProgress;
}

/**
 * Fetches the state of another node.
 *
 * @param peerAddress - the address and port at which the node answers other nodes
 * @param heldVersion - the configuration version in force at this node; 0 if there is none
 * @param request - the parts to fetch
 * @returns the state, or why it could not be fetched
 */
export function fetchState(
  peerAddress: string,
  heldVersion: number,
  { progress, withHosts = true }: StateRequest = {},
): Promise<Result<NodeState, string>> {
  return new Promise((resolve) => {
    const hostsQuery = withHosts ? '' : `&${HOSTS_PARAMETER}=${WITHOUT_HOSTS}`;
    const query = `${HELD_VERSION_PARAMETER}=${heldVersion}${hostsQuery}`;
    const url = `http://${peerAddress}${PeerPath.State}?${query}`;
    const abortOversized = (): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the request and its abort function refer to each other
      outgoing.destroy(new Error('the response of the node exceeds the size limit'));
    };
    const limits = [AbortSignal.timeout(MAX_DURATION_MS), ...(progress ? [progress.signal] : [])];
    const signal = AbortSignal.any(limits);
    const options = { signal, timeout: SILENCE_TIMEOUT_MS, agent: false };
    const outgoing = openRequest(url, options, (response) => {
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
    outgoing.on('timeout', () => outgoing.destroy(new Error('timed out waiting for the node')));
    limitResponseHead(outgoing, abortOversized);
    outgoing.on('error', ({ message }) => resolve(Err(message)));
    onClosedUnanswered(outgoing, () => resolve(Err('the node closed the connection unanswered')));
    outgoing.end();
  });
}
