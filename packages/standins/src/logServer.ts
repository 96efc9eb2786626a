/** Serves the in-memory substitute for the platform's log over HTTP. */
import Router from '@koa/router';
import Koa from 'koa';
import type { Context } from 'koa';
import type { Clock, LogFailure } from 'lentillb';
import { Deadline, HttpListener, LogFailureKind, LogStream, readJson } from 'lentillb';
import type { LogFaults, MemoryLog } from './memoryLog.js';

/** The maximum size of a record, in bytes. */
const MAX_RECORD_BYTES = 4 * 1024 * 1024;
const MAX_FAULTS_BODY_BYTES = 1_024;
const MAX_WAIT_MS = 30_000;
/** The deadline of an operation on the log, in milliseconds. */
const REQUEST_TIMEOUT_MS = 60_000;
const DEFAULT_READ_LIMIT = 256;

const HttpStatus = { BadRequest: 400, NotFound: 404, Gone: 410, TooLarge: 413, Unavailable: 503 };

/** The status of each kind of failure; 0 closes the connection without a response. */
const statusByFailure: Record<LogFailureKind, number> = {
  [LogFailureKind.Unavailable]: HttpStatus.Unavailable,
  [LogFailureKind.UnknownEffect]: 0,
  [LogFailureKind.NotRetained]: HttpStatus.Gone,
  [LogFailureKind.Refused]: HttpStatus.BadRequest,
};

function parseNumber(value: unknown, fallback: number): number {
  const number = Number(value);
  return value === undefined || !Number.isFinite(number) ? fallback : number;
}

function findStream(context: Context): LogStream | undefined {
  const stream = Object.values(LogStream).find((known) => known === context.params.stream);
  if (stream === undefined) {
    context.status = HttpStatus.NotFound;
    context.body = { error: `no stream "${context.params.stream}"` };
  }
  return stream;
}

function sendResult(
  context: Context,
  result: { isErr(): boolean; error?: LogFailure; value?: unknown },
): void {
  const failure = result.isErr() ? result.error : undefined;
  if (failure === undefined) {
    context.body = result.value;
    return;
  }
  const status = statusByFailure[failure.kind];
  if (status === 0) {
    context.respond = false;
    context.res.destroy();
    return;
  }
  context.status = status;
  context.body = { error: failure.message, ...failure.range };
}

/** An HTTP server for a log. */
export class LogServer {
  private readonly http: HttpListener;

  private boundPort = 0;

  /**
   * @param log - the log to serve
   * @param clock - the clock for the deadlines of requests
   */
  constructor(
    private readonly log: MemoryLog,
    private readonly clock: Clock,
  ) {
    const router = new Router();
    router.post('/streams/:stream/records', (context) => this.append(context));
    router.get('/streams/:stream/records', (context) => this.read(context));
    router.get('/streams/:stream', (context) => this.range(context));
    router.put('/faults', (context) => this.setFaults(context));
    const application = new Koa();
    application.use(router.routes()).use(router.allowedMethods());
    this.http = new HttpListener(application.callback());
  }

  /** The base URL. Valid after `listen` has resolved. */
  get url(): string {
    return `http://127.0.0.1:${this.boundPort}`;
  }

  /** @param port - the port to listen on; 0 selects a free port */
  async listen(port = 0): Promise<void> {
    this.boundPort = await this.http.listen(port, '127.0.0.1');
  }

  /** Stops the server; pending reads return without waiting for a record. */
  async close(): Promise<void> {
    this.log.wakeReaders();
    await this.http.close(Deadline.after(this.clock, 100));
  }

  private async append(context: Context): Promise<void> {
    const stream = findStream(context);
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of context.req) {
      chunks.push(chunk as Buffer);
      bytes += (chunk as Buffer).length;
      if (bytes > MAX_RECORD_BYTES) {
        context.status = HttpStatus.TooLarge;
        return;
      }
    }
    if (stream !== undefined) {
      const deadline = Deadline.after(this.clock, REQUEST_TIMEOUT_MS);
      const appended = await this.log.append(stream, Buffer.concat(chunks), deadline);
      sendResult(
        context,
        appended.map((offset) => ({ offset })).mapErr((failure) => failure),
      );
    }
  }

  private async read(context: Context): Promise<void> {
    const stream = findStream(context);
    if (stream === undefined) {
      return;
    }
    const { from, limit, wait } = context.query;
    const request = {
      stream,
      from: parseNumber(from, 1),
      limit: parseNumber(limit, DEFAULT_READ_LIMIT),
      waitMs: Math.min(MAX_WAIT_MS, parseNumber(wait, 0)),
    };
    const disconnected = new AbortController();
    context.res.once('close', () => disconnected.abort());
    const deadline = Deadline.after(this.clock, REQUEST_TIMEOUT_MS);
    const batch = await this.log.read(request, deadline, disconnected.signal);
    sendResult(
      context,
      batch.map(({ records, range }) => ({
        ...range,
        records: records.map(({ offset, appendedAt, data }) => ({
          offset,
          appendedAt: appendedAt.toISOString(),
          data: Buffer.from(data).toString('base64'),
        })),
      })),
    );
  }

  private async range(context: Context): Promise<void> {
    const stream = findStream(context);
    if (stream !== undefined) {
      const deadline = Deadline.after(this.clock, REQUEST_TIMEOUT_MS);
      sendResult(context, await this.log.range(stream, deadline));
    }
  }

  private async setFaults(context: Context): Promise<void> {
    const body = await readJson(context.req, MAX_FAULTS_BODY_BYTES);
    if (body.isErr()) {
      context.status = HttpStatus.BadRequest;
      context.body = { error: body.error };
      return;
    }
    Object.assign(this.log.faults, body.value as Partial<LogFaults>);
    this.log.wakeReaders();
    context.body = this.log.faults;
  }
}
