/** Answers requests that an entry does not pass on, or that got no answer, and logs why. */
import type { IncomingHttpHeaders } from 'node:http';
import { formatRetryAfter } from '../admission/retryAfter.js';
import type { HeaderFields } from '../calls/callHeaders.js';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';

/** A request that gets no answer of a backend server. */
export interface UnservedRequest {
  readonly headers: IncomingHttpHeaders;
  /** The arrival time, in milliseconds of the monotonic clock. */
  readonly arrivedAtMs: number;
}

/** The answer to a request that was not served. */
export interface RefusalAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** Fields of the log line of a refusal. */
export type RefusalFields = Readonly<Record<string, string | number>>;

const HttpStatus = { TooManyRequests: 429, Unavailable: 503 } as const;

const EMPTY_BODY = Buffer.alloc(0);

/** Creates the answers to requests that are not served. */
export class Refusals {
  /**
   * @param services - the clock, the configuration in force, the log and the metrics
   * @param requestIdName - the name of the header with the identity of a request, in lower case
   */
  constructor(
    private readonly services: {
      readonly clock: Pick<Clock, 'monotonicMs'>;
      readonly configuration: Pick<ConfigurationHolder, 'version'>;
      readonly log: Pick<DecisionLog, 'record'>;
      readonly metrics: Pick<MetricsRegistry, 'count'>;
    },
    private readonly requestIdName: string,
  ) {}

  /**
   * Refuses a request that has not run and never will.
   *
   * @param request - the request
   * @param cause - the reason, for the log and the metrics
   * @param delayMs - the time after which the caller may repeat it, in milliseconds
   * @param fields - further fields of the log line
   * @returns an answer with status 503
   */
  refuse(
    request: UnservedRequest,
    cause: string,
    delayMs: number,
    fields: RefusalFields = {},
  ): RefusalAnswer {
    return this.refuseWith(HttpStatus.Unavailable, request, cause, delayMs, fields);
  }

  /**
   * Refuses a request beyond the rate of its customer.
   *
   * @param request - the request
   * @param delayMs - the time after which the rate allows another one, in milliseconds
   * @param fields - further fields of the log line
   * @returns an answer with status 429
   */
  refuseOverQuota(request: UnservedRequest, delayMs: number, fields: RefusalFields): RefusalAnswer {
    return this.refuseWith(HttpStatus.TooManyRequests, request, 'over-quota', delayMs, fields);
  }

  /**
   * Fails a request for good, or one that may have run.
   *
   * @param request - the request
   * @param cause - the reason, for the log and the metrics
   * @param status - the status of the answer
   * @param fields - further fields of the log line
   * @param headers - the headers of the answer
   * @returns the answer
   */
  fail(
    request: UnservedRequest,
    cause: string,
    status: number,
    fields: RefusalFields,
    headers: HeaderFields = {},
  ): RefusalAnswer {
    this.record('request-failed', request, cause, status, fields);
    return { status, headers, body: EMPTY_BODY };
  }

  private refuseWith(
    status: number,
    request: UnservedRequest,
    cause: string,
    delayMs: number,
    fields: RefusalFields,
  ): RefusalAnswer {
    const retryAfterMs = Math.round(delayMs);
    this.record('request-refused', request, cause, status, { ...fields, retryAfterMs });
    const headers = { 'retry-after': formatRetryAfter(retryAfterMs) };
    return { status, headers, body: EMPTY_BODY };
  }

  private record(
    event: string,
    { arrivedAtMs, headers }: UnservedRequest,
    cause: string,
    status: number,
    fields: RefusalFields,
  ): void {
    const { clock, configuration, log, metrics } = this.services;
    const requestId = headers[this.requestIdName];
    metrics.count('entry_failures', { cause, status: `${status}` });
    log.record(Importance.Notable, event, {
      requestId: typeof requestId === 'string' ? requestId : undefined,
      cause,
      status,
      elapsedMs: Math.round(clock.monotonicMs() - arrivedAtMs),
      configurationVersion: configuration.version,
      ...fields,
    });
  }
}
