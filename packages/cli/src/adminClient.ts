/** Client of the administration API. */
import { randomUUID } from 'node:crypto';
import type { Explanation, Judgement, PublishOutcome, TimelineEvent } from 'lentillb';
import { PublishResult } from 'lentillb';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { request } from 'undici';

const BAD_REQUEST = 400;
/** What a request may take beyond the time a node was given, in milliseconds. */
const GRACE_MS = 2_000;

/** The state of one node. */
export interface NodeStatus {
  readonly host: string;
  readonly zone: string;
  readonly version: number;
  readonly through: number;
  /** How many records peers have that the node has not. */
  readonly waitingFor: number;
  readonly blockedAt?: number;
  readonly reader: boolean;
  readonly logReachable?: boolean;
  readonly hosts: number;
  readonly peers: readonly string[];
  readonly callsInFlight: number;
  readonly gateInFlight: number;
  readonly zones: readonly ZoneProgress[];
}

/** How far one zone has come. */
export interface ZoneProgress {
  readonly zone: string;
  readonly nodes: number;
  readonly lowestVersion: number;
}

/** How far the fleet has come. */
export interface Convergence {
  readonly version: number;
  readonly zones: readonly ZoneProgress[];
  readonly zonesKnown: readonly { readonly zone: string; readonly nodes: number }[];
}

/** One host of the fleet. */
export interface Member {
  readonly host: string;
  readonly zone: string;
  readonly state: string;
  readonly address: string;
  readonly callPort: number;
  readonly adminPort: number;
}

/** The configuration in force. */
export interface Configuration {
  readonly version: number;
  readonly text: string;
}

/** The verdicts a node remembers. */
export interface History {
  readonly version: number;
  readonly judgements: readonly Judgement[];
}

/** Events of one node. */
export interface NodeEvents {
  readonly host: string;
  readonly events: readonly TimelineEvent[];
}

/** What to publish. */
export interface Publication {
  readonly base: number;
  readonly author: string;
  readonly text: string;
  readonly publishId: string;
  readonly timeoutMs: number;
}

interface Call {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** What a node replied. */
interface Reply {
  readonly answer: unknown;
  /** Why the node did nothing, where it said so. */
  readonly refusal?: string;
}

/** @returns a new id for a publication */
export function newPublishId(): string {
  return randomUUID();
}

/** Asks one node. Failures are lines that say what was being done and what to do. */
export class AdminClient {
  /**
   * @param url - the base URL of the node's administration API
   * @param timeoutMs - how long an answer may take, in milliseconds
   * @param token - the token to send, where the node asks for one
   */
  constructor(
    private readonly url: string,
    private readonly timeoutMs: number,
    private readonly token?: string,
  ) {}

  status(): Promise<Result<NodeStatus, string>> {
    return this.call({ method: 'GET', path: '/v1/status' });
  }

  configuration(): Promise<Result<Configuration, string>> {
    return this.call({ method: 'GET', path: '/v1/configuration' });
  }

  history(): Promise<Result<History, string>> {
    return this.call({ method: 'GET', path: '/v1/history' });
  }

  convergence(): Promise<Result<Convergence, string>> {
    return this.call({ method: 'GET', path: '/v1/convergence' });
  }

  members(): Promise<Result<{ readonly members: readonly Member[] }, string>> {
    return this.call({ method: 'GET', path: '/v1/members' });
  }

  events(after: number): Promise<Result<NodeEvents, string>> {
    return this.call({ method: 'GET', path: `/v1/timeline?after=${after}` });
  }

  explain(
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<Result<Explanation, string>> {
    const query = new URLSearchParams({ method, path });
    return this.call({ method: 'GET', path: `/v1/explain?${query}`, headers });
  }

  diff(text: string): Promise<Result<{ version: number; difference: readonly string[] }, string>> {
    return this.call({ method: 'POST', path: '/v1/diff', body: { text } });
  }

  /**
   * Publishes a rule file.
   *
   * @param publication - what to publish
   * @returns what became of it, or why nobody can tell
   */
  async publish(publication: Publication): Promise<Result<PublishOutcome, string>> {
    const call: Call = { method: 'POST', path: '/v1/publish', body: publication };
    const reply = await this.exchange(call);
    return reply.map(({ answer, refusal }) => {
      if (refusal === undefined) {
        return answer as PublishOutcome;
      }
      const { publishId } = publication;
      const result = PublishResult.Refused;
      return { result, publishId, reason: refusal, faults: [], difference: [] };
    });
  }

  private async call<Answer>(call: Call): Promise<Result<Answer, string>> {
    const reply = await this.exchange(call);
    return reply.andThen(({ answer, refusal }) =>
      refusal === undefined ? Ok(answer as Answer) : Err(refusal),
    );
  }

  private async exchange({ method, path, body, headers }: Call): Promise<Result<Reply, string>> {
    try {
      const response = await request(`${this.url}${path}`, {
        method,
        headers: { ...headers, ...this.authorization() },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(this.timeoutMs + GRACE_MS),
      });
      const answer = (await response.body.json()) as { error?: string };
      const refused = response.statusCode >= BAD_REQUEST && answer.error !== undefined;
      return Ok({ answer, refusal: refused ? `${this.url}: ${answer.error}` : undefined });
    } catch (error) {
      const reason = (error as Error).message || (error as NodeJS.ErrnoException).code;
      return Err(`${method} ${this.url}${path}: ${reason}; check --admin (or LENTILLB_ADMIN)`);
    }
  }

  private authorization(): Readonly<Record<string, string>> {
    return this.token === undefined ? {} : { authorization: `Bearer ${this.token}` };
  }
}
