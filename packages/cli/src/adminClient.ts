/** The client of the administration API. */
import { randomUUID } from 'node:crypto';
import type { Explanation, Judgement, PublishOutcome, TimelineEvent } from 'lentillb';
import { PublishResult } from 'lentillb';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { request } from 'undici';

const BAD_REQUEST = 400;
/** How long the client waits beyond the timeout of the node, in milliseconds. */
const RESPONSE_GRACE_MS = 2_000;

/** The state of one node. */
export interface NodeStatus {
  readonly host: string;
  readonly zone: string;
  readonly version: number;
  readonly through: number;
  /** The number of records that peers have and this node lacks. */
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

/** The lowest version in force in one zone. */
export interface ZoneProgress {
  readonly zone: string;
  readonly nodes: number;
  readonly lowestVersion: number;
}

/** The progress of all zones towards the newest version. */
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

/** The verdicts on publications that a node holds. */
export interface History {
  readonly version: number;
  readonly judgements: readonly Judgement[];
}

/** The timeline events of one node. */
export interface NodeEvents {
  readonly host: string;
  readonly events: readonly TimelineEvent[];
}

/** A rule file to publish. */
export interface Publication {
  readonly base: number;
  readonly author: string;
  readonly text: string;
  readonly publishId: string;
  readonly timeoutMs: number;
}

interface ApiRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** The reply of a node. */
interface ApiReply {
  readonly answer: unknown;
  /** The reason why the node refused the request; undefined if it did not. */
  readonly refusal?: string;
}

/** @returns a new, random id for a publication */
export function newPublishId(): string {
  return randomUUID();
}

/** Sends requests to one node. Errors name the failed request and a remedy. */
export class AdminClient {
  /**
   * @param url - the base URL of the node's administration API
   * @param timeoutMs - the timeout of a request, in milliseconds
   * @param token - the access token; undefined if the node requires none
   */
  constructor(
    private readonly url: string,
    private readonly timeoutMs: number,
    private readonly token?: string,
  ) {}

  /** Returns the state of the node. */
  status(): Promise<Result<NodeStatus, string>> {
    return this.call({ method: 'GET', path: '/v1/status' });
  }

  /** Returns the configuration in force on the node. */
  configuration(): Promise<Result<Configuration, string>> {
    return this.call({ method: 'GET', path: '/v1/configuration' });
  }

  /** Returns the latest verdicts on publications. */
  history(): Promise<Result<History, string>> {
    return this.call({ method: 'GET', path: '/v1/history' });
  }

  /** Returns the versions in force in all zones. */
  convergence(): Promise<Result<Convergence, string>> {
    return this.call({ method: 'GET', path: '/v1/convergence' });
  }

  /** Returns the hosts of the fleet that the node knows. */
  members(): Promise<Result<{ readonly members: readonly Member[] }, string>> {
    return this.call({ method: 'GET', path: '/v1/members' });
  }

  /**
   * Returns the timeline events of the node.
   *
   * @param after - the sequence number after which events are returned
   */
  events(after: number): Promise<Result<NodeEvents, string>> {
    return this.call({ method: 'GET', path: `/v1/timeline?after=${after}` });
  }

  /**
   * Returns the rules that apply to a request and the backend servers that can serve it.
   *
   * @param method - the method of the request
   * @param path - the path of the request
   * @param headers - the headers of the request
   */
  explain(
    method: string,
    path: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<Result<Explanation, string>> {
    const query = new URLSearchParams({ method, path });
    return this.call({ method: 'GET', path: `/v1/explain?${query}`, headers });
  }

  /**
   * Compares rules with those in force.
   *
   * @param text - the text of a rule file
   * @returns the version in force and the lines that differ
   */
  diff(text: string): Promise<Result<{ version: number; difference: readonly string[] }, string>> {
    return this.call({ method: 'POST', path: '/v1/diff', body: { text } });
  }

  /**
   * Publishes a rule file.
   *
   * @param publication - the rule file and its metadata
   * @returns the outcome, or an error if the outcome is unknown
   */
  async publish(publication: Publication): Promise<Result<PublishOutcome, string>> {
    const call: ApiRequest = { method: 'POST', path: '/v1/publish', body: publication };
    const reply = await this.send(call);
    return reply.map(({ answer, refusal }) => {
      if (refusal === undefined) {
        return answer as PublishOutcome;
      }
      const { publishId } = publication;
      const result = PublishResult.Refused;
      return { result, publishId, reason: refusal, faults: [], difference: [] };
    });
  }

  private async call<Answer>(call: ApiRequest): Promise<Result<Answer, string>> {
    const reply = await this.send(call);
    return reply.andThen(({ answer, refusal }) =>
      refusal === undefined ? Ok(answer as Answer) : Err(refusal),
    );
  }

  private async send({
    method,
    path,
    body,
    headers,
  }: ApiRequest): Promise<Result<ApiReply, string>> {
    try {
      const response = await request(`${this.url}${path}`, {
        method,
        headers: { ...headers, ...this.authorization() },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(this.timeoutMs + RESPONSE_GRACE_MS),
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
