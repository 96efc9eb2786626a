/** Callers that send requests at a steady pace and keep what they were told. */
import { request } from 'undici';

/** What a caller was told of one request. */
export interface Told {
  readonly requestId: string;
  readonly once: boolean;
  /** `answered`, `not-run`, `unknown`, or `broken` where the connection gave no answer. */
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken';
  /** Why, for messages. */
  readonly detail: string;
}

/** Where callers find nodes; asked for before every request, since nodes come and go. */
export type Addresses = () => readonly string[];

const PACE_MS = 5;
const REQUEST_TIMEOUT_MS = 8_000;

/** Sends requests until stopped. */
export class Load {
  readonly told: Told[] = [];

  private stopped = false;

  private sent = 0;

  private readonly pending = new Set<Promise<void>>();

  /** @param addresses - the nodes to send to, in turn */
  constructor(private readonly addresses: Addresses) {}

  /** Sends until `stop` is called. */
  async run(): Promise<void> {
    while (!this.stopped) {
      this.sent += 1;
      const one = this.send(this.sent).finally(() => this.pending.delete(one));
      this.pending.add(one);
      await new Promise<void>((resolve) => {
        setTimeout(resolve, PACE_MS);
      });
    }
    await Promise.all(this.pending);
  }

  /** Sends nothing new. */
  stop(): void {
    this.stopped = true;
  }

  private async send(number: number): Promise<void> {
    const once = number % 2 === 0;
    const requestId = `request-${number}`;
    this.told.push({ requestId, once, ...(await this.sendTo(number, requestId, once)) });
  }

  /** A refused connection was never a request: the caller goes to another node. */
  private async sendTo(
    number: number,
    requestId: string,
    once: boolean,
  ): Promise<Pick<Told, 'outcome' | 'detail'>> {
    const nodes = this.addresses();
    let detail = 'no node';
    for (let index = 0; index < nodes.length; index += 1) {
      const url = nodes[(number + index) % nodes.length];
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
