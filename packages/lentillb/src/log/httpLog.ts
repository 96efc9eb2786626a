/** Client of the platform's log over HTTP. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { Pool } from 'undici';
import { z } from 'zod';
import type { Deadline } from '../kernel/deadline.js';
import type { Log, LogBatch, LogFailure, LogRange, LogStream, ReadRequest } from './log.js';
import { LogFailureKind } from './log.js';

const MAX_CONNECTIONS = 4;
const CONNECT_TIMEOUT_MS = 2_000;

const HttpStatus = {
  BadRequest: 400,
  Gone: 410,
  TooManyRequests: 429,
  ServerError: 500,
  Unavailable: 503,
} as const;

const rangeSchema = z.object({
  earliest: z.number().int(),
  next: z.number().int(),
  retentionMs: z.number(),
});

const batchSchema = rangeSchema.extend({
  records: z.array(
    z.object({ offset: z.number().int(), appendedAt: z.string(), data: z.base64() }),
  ),
});

const appendedSchema = z.object({ offset: z.number().int() });

/** Error codes of connections that failed before anything was sent. */
const NOTHING_SENT = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface Exchange {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: Uint8Array;
  readonly action: string;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

function failure(kind: LogFailureKind, action: string, reason: string, remedy: string): LogFailure {
  return { kind, message: `${action}: ${reason}; ${remedy}` };
}

/** What a status means for the operation, and what to do about it. */
interface StatusMeaning {
  readonly kind: LogFailureKind;
  readonly remedy: string;
}

const LOOK = 'read the log to see whether it took effect';

function meaningOf(status: number, lost: LogFailureKind): StatusMeaning {
  if (status === HttpStatus.Gone) {
    return { kind: LogFailureKind.NotRetained, remedy: 'read on from the earliest offset' };
  }
  if (status === HttpStatus.TooManyRequests || status === HttpStatus.Unavailable) {
    return { kind: LogFailureKind.Unavailable, remedy: 'try again later' };
  }
  if (status >= HttpStatus.ServerError) {
    return { kind: lost, remedy: LOOK };
  }
  return { kind: LogFailureKind.Refused, remedy: 'check the log URL and the record size' };
}

function judge(
  { status, body }: Answer,
  action: string,
  lost: LogFailureKind,
): Result<Answer, LogFailure> {
  if (status < HttpStatus.BadRequest) {
    return Ok({ status, body });
  }
  const { kind, remedy } = meaningOf(status, lost);
  const range = kind === LogFailureKind.NotRetained ? rangeSchema.safeParse(body).data : undefined;
  return Err({ ...failure(kind, action, `the log answered ${status}`, remedy), range });
}

function decode<Value>(
  schema: z.ZodType<Value>,
  body: unknown,
  action: string,
): Result<Value, LogFailure> {
  const decoded = schema.safeParse(body);
  return decoded.success
    ? Ok(decoded.data)
    : Err(
        failure(
          LogFailureKind.UnknownEffect,
          action,
          'the answer is not of the log protocol',
          'check the log URL',
        ),
      );
}

/** A log reached over HTTP. */
export class HttpLog implements Log {
  private readonly pool: Pool;

  /** @param url - the base URL of the log */
  constructor(private readonly url: string) {
    this.pool = new Pool(new URL(url).origin, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  async append(
    stream: LogStream,
    data: Uint8Array,
    deadline: Deadline,
  ): Promise<Result<number, LogFailure>> {
    const action = `append ${data.length} bytes to stream "${stream}" of ${this.url}`;
    const exchange: Exchange = {
      method: 'POST',
      path: `/streams/${stream}/records`,
      body: data,
      action,
    };
    const answer = await this.exchange(exchange, deadline);
    return answer
      .andThen(({ body }) => decode(appendedSchema, body, action))
      .map(({ offset }) => offset);
  }

  async read(
    request: ReadRequest,
    deadline: Deadline,
    signal?: AbortSignal,
  ): Promise<Result<LogBatch, LogFailure>> {
    const { stream, from, limit, waitMs } = request;
    const query = `from=${from}&limit=${limit}&wait=${Math.floor(waitMs)}`;
    const action = `read stream "${stream}" of ${this.url} from offset ${from}`;
    const exchange: Exchange = {
      method: 'GET',
      path: `/streams/${stream}/records?${query}`,
      action,
    };
    const answer = await this.exchange(exchange, deadline, signal);
    return answer
      .andThen(({ body }) => decode(batchSchema, body, action))
      .map(({ records, ...range }) => ({
        range,
        records: records.map((record) => ({
          offset: record.offset,
          appendedAt: new Date(record.appendedAt),
          data: Buffer.from(record.data, 'base64'),
        })),
      }));
  }

  async range(stream: LogStream, deadline: Deadline): Promise<Result<LogRange, LogFailure>> {
    const action = `ask for the range of stream "${stream}" of ${this.url}`;
    const answer = await this.exchange(
      { method: 'GET', path: `/streams/${stream}`, action },
      deadline,
    );
    return answer.andThen(({ body }) => decode(rangeSchema, body, action));
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async exchange(
    { method, path, body, action }: Exchange,
    deadline: Deadline,
    signal?: AbortSignal,
  ): Promise<Result<Answer, LogFailure>> {
    const timeout = AbortSignal.timeout(Math.max(1, Math.ceil(deadline.remainingMs())));
    const anySignal = signal === undefined ? timeout : AbortSignal.any([timeout, signal]);
    const lost = method === 'POST' ? LogFailureKind.UnknownEffect : LogFailureKind.Unavailable;
    try {
      const response = await this.pool.request({ method, path, body, signal: anySignal });
      const text = await response.body.text();
      return judge({ status: response.statusCode, body: JSON.parse(text) }, action, lost);
    } catch (error) {
      const { code = '', message } = error as NodeJS.ErrnoException;
      return NOTHING_SENT.has(code)
        ? Err(failure(LogFailureKind.Unavailable, action, message, 'try again later'))
        : Err(failure(lost, action, message, LOOK));
    }
  }
}
