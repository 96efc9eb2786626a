/** Generates requests at a constant rate and records their outcomes. */
import { request } from 'undici';

/** The outcome of one request from the view of its caller. */
export interface RequestOutcome {
  readonly requestId: string;
  /** Whether the request must run at most once. */
  readonly once: boolean;
  /**
   * `broken` if the connection failed, or the outcome that the response states, `answered` by
   * default; `not-run` also if no node accepted a connection.
   */
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken';
  /** The response or the error, for assertion messages. */
  readonly detail: string;
}

/**
 * A function that returns the URLs of the nodes; called before every request because nodes come and
 * go.
 */
export type NodeUrls = () => readonly string[];

const REQUEST_INTERVAL_MS = 5;
const REQUEST_TIMEOUT_MS = 8_000;

/** Sends requests until stopped. */
export class LoadGenerator {
  readonly outcomes: RequestOutcome[] = [];

  private stopped = false;

  private requestCount = 0;

  private readonly pending = new Set<Promise<void>>();

  /** @param nodeUrls - returns the URLs of the nodes to send to, in turn */
  constructor(private readonly nodeUrls: NodeUrls) {}

  /** Sends requests until `stop` is called, then waits until the pending ones have ended. */
  async run(): Promise<void> {
    while (!this.stopped) {
      this.requestCount += 1;
      const sending = this.send(this.requestCount).finally(() => this.pending.delete(sending));
      this.pending.add(sending);
      await new Promise<void>((resolve) => {
        setTimeout(resolve, REQUEST_INTERVAL_MS);
      });
    }
    await Promise.all(this.pending);
  }

  /** Stops sending new requests. */
  stop(): void {
    this.stopped = true;
  }

  private async send(sequenceNumber: number): Promise<void> {
    const once = sequenceNumber % 2 === 0;
    const requestId = `request-${sequenceNumber}`;
    this.outcomes.push({
      requestId,
      once,
      ...(await this.sendWithFailover(sequenceNumber, requestId, once)),
    });
  }

  /** Tries the next node after a refused connection, over which no request can have been sent. */
  private async sendWithFailover(
    sequenceNumber: number,
    requestId: string,
    once: boolean,
  ): Promise<Pick<RequestOutcome, 'outcome' | 'detail'>> {
    const urls = this.nodeUrls();
    let detail = 'no node is available';
    for (let index = 0; index < urls.length; index += 1) {
      const url = urls[(sequenceNumber + index) % urls.length];
      try {
        const { statusCode, headers, body } = await request(
          `${url}${once ? '/orders' : '/pages/1'}`,
          {
            method: once ? 'POST' : 'GET',
            headers: { 'x-request-id': requestId },
            body: once ? 'order' : undefined,
            signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
          },
        );
        const text = await body.text();
        const outcome = headers['lentillb-outcome'] as 'not-run' | 'unknown' | undefined;
        return { outcome: outcome ?? 'answered', detail: `${statusCode} ${text}` };
      } catch (error) {
        const { code, message } = error as NodeJS.ErrnoException;
        detail = `${code} ${message}`;
        if (code !== 'ECONNREFUSED') {
          return { outcome: 'broken', detail };
        }
      }
    }
    return { outcome: 'not-run', detail };
  }
}
