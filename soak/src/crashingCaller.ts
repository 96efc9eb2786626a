/** Sends a request under which each backend server that runs it ends, again and again. */
import { request } from 'undici';
import type { Clock } from 'lentillb/sidecar';
import type { NodeTarget } from './caller.js';
import { CRASHING_PREFIX, Header, RouteName } from './platformDocuments.js';
import type { SoakRecord } from './soakRecord.js';
import { RequestOutcome } from './soakRecord.js';

const TIMEOUT_MS = 1_500;
const UNAVAILABLE = 503;

/** Returns the status of the response, if there was one. */
async function post(address: string, id: string, body: string): Promise<number | undefined> {
  try {
    const answer = await request(`http://${address}/${body}`, {
      method: 'POST',
      headers: {
        host: `${RouteName.Browse}.example`,
        [Header.requestId]: id,
        [Header.deadlineMs]: `${TIMEOUT_MS}`,
      },
      body,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    return undefined;
  }
}

/** A caller whose requests have the same content, each with an identity of its own. */
export class CrashingCaller {
  private count = 0;

  /**
   * @param services - the clock, and the record of requests
   * @param target - returns the node to send to
   */
  constructor(
    private readonly services: { readonly clock: Clock; readonly record: SoakRecord },
    private readonly target: () => NodeTarget,
  ) {}

  /** Sends the request once, and records what came back. */
  async send(): Promise<void> {
    const { clock, record } = this.services;
    const { address, hostIndex: host, processNumber } = this.target();
    this.count += 1;
    const content = `${CRASHING_PREFIX}-${host}`;
    const id = `${content}-${this.count}`;
    const sentAtMs = clock.monotonicMs();
    const status = await post(address, id, content);
    record.requests.push({
      id,
      route: RouteName.Browse,
      host,
      processNumber,
      sentAtMs,
      endedAtMs: clock.monotonicMs(),
      deadlineMs: TIMEOUT_MS,
      outcome: status === UNAVAILABLE ? RequestOutcome.NotRun : RequestOutcome.Failed,
      isMatchingResponse: false,
      detail: `status ${status ?? 'none'}`,
    });
  }
}
