/** Accesses the platform's log over HTTP. */
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

/** The error codes of connections that failed before any byte of the request was sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface HttpRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: Uint8Array;
  readonly action: string;
}

interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}

function createFailure(
  kind: LogFailureKind,
  action: string,
  reason: string,
  remedy: string,
): LogFailure {
  return { kind, message: `${action}: ${reason}; ${remedy}` };
}

/** The kind of failure that a status stands for, and what to do about it. */
interface StatusMeaning {
  readonly kind: LogFailureKind;
  readonly remedy: string;
}

const READ_LOG_REMEDY = 'read the log to see whether it took effect';

function interpretStatus(status: number, noResponseKind: LogFailureKind): StatusMeaning {
  if (status === HttpStatus.Gone) {
    return {
      kind: LogFailureKind.NotRetained,
      remedy: 'continue reading from the earliest offset',
    };
  }
  if (status === HttpStatus.TooManyRequests || status === HttpStatus.Unavailable) {
    return { kind: LogFailureKind.Unavailable, remedy: 'try again later' };
  }
  if (status >= HttpStatus.ServerError) {
    return { kind: noResponseKind, remedy: READ_LOG_REMEDY };
  }
  return { kind: LogFailureKind.Refused, remedy: 'check the log URL and the record size' };
}

function checkStatus(
  { status, body }: HttpResponse,
  action: string,
  noResponseKind: LogFailureKind,
): Result<HttpResponse, LogFailure> {
  if (status < HttpStatus.BadRequest) {
    return Ok({ status, body });
  }
  const { kind, remedy } = interpretStatus(status, noResponseKind);
  const range = kind === LogFailureKind.NotRetained ? rangeSchema.safeParse(body).data : undefined;
  return Err({
    ...createFailure(kind, action, `the log responded with status ${status}`, remedy),
    range,
  });
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
        createFailure(
          LogFailureKind.UnknownEffect,
          action,
          'the response does not follow the log protocol',
          'check the log URL',
        ),
      );
}

/** Reads and appends records over HTTP. */
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
    const httpRequest: HttpRequest = {
      method: 'POST',
      path: `/streams/${stream}/records`,
      body: data,
      action,
    };
    const response = await this.send(httpRequest, deadline);
    return response
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
    const httpRequest: HttpRequest = {
      method: 'GET',
      path: `/streams/${stream}/records?${query}`,
      action,
    };
    const response = await this.send(httpRequest, deadline, signal);
    return response
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
    const action = `get the range of stream "${stream}" of ${this.url}`;
    const response = await this.send(
      { method: 'GET', path: `/streams/${stream}`, action },
      deadline,
    );
    return response.andThen(({ body }) => decode(rangeSchema, body, action));
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async send(
    { method, path, body, action }: HttpRequest,
    deadline: Deadline,
    signal?: AbortSignal,
  ): Promise<Result<HttpResponse, LogFailure>> {
    const timeoutSignal = AbortSignal.timeout(Math.max(1, Math.ceil(deadline.remainingMs())));
    const combinedSignal =
      signal === undefined ? timeoutSignal : AbortSignal.any([timeoutSignal, signal]);
    const noResponseKind =
      method === 'POST' ? LogFailureKind.UnknownEffect : LogFailureKind.Unavailable;
    try {
      const response = await this.pool.request({ method, path, body, signal: combinedSignal });
      const text = await response.body.text();
      return checkStatus(
        { status: response.statusCode, body: JSON.parse(text) },
        action,
        noResponseKind,
      );
    } catch (error) {
      const { code = '', message } = error as NodeJS.ErrnoException;
      return CONNECT_ERROR_CODES.has(code)
        ? Err(createFailure(LogFailureKind.Unavailable, action, message, 'try again later'))
        : Err(createFailure(noResponseKind, action, message, READ_LOG_REMEDY));
    }
  }
}
