/** A backend server of the soak test, which may state a limit or its departure, or end under a request. */
import { ScriptedBackendServer, spoiledAnswer } from '@lentillb/standins';
import type { RequestHandler } from '@lentillb/standins';
import type { Clock, Randomness } from 'lentillb/sidecar';
import type { Service } from './platformDocuments.js';
import { answerBody, CRASHING_PREFIX, Header, SLOW_PREFIX } from './platformDocuments.js';
import type { Execution, SoakRecord } from './soakRecord.js';
import { ExecutionEnd } from './soakRecord.js';

/** The range of the random time that a request runs: from `min`, less than `spread` more. */
const HANDLING_MS = { min: 3, spread: 60 } as const;
/** The same for the few runs that last far longer than usual. */
const LONG_HANDLING_MS = { min: 300, spread: 400 } as const;
/** The number of requests of which, on average, one runs so long. */
const LONG_RUN_ONE_IN = 20;
/** The number of answers of which, on average, one is spoiled while some are. */
const SPOILED_ONE_IN = 10;

/** What callers, backend servers and hosts depend on. */
export interface SoakServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly record: SoakRecord;
}

/** Runs requests and records them. */
export class SoakBackendServer {
  readonly startedAt: Date;

  /** Whether heartbeats report that the backend server is draining. */
  draining = false;

  /** When answers stated the limit or the departure first. */
  statedAtMs: number | undefined;

  private limitPerSecond: number | undefined;

  private isLeaving = false;

  private isClosed = false;

  /** Whether a few requests run far longer than usual. */
  hasLongRuns = false;

  /** Whether some answers are spoiled. */
  hasSpoiledAnswers = false;

  private readonly server: ScriptedBackendServer;

  /**
   * @param services - the services that the backend server depends on
   * @param options - the identity, the service and the index of the host of the backend server
   * @param onCrashingRequest - called when a request arrives under which it ends
   */
  constructor(
    private readonly services: SoakServices,
    private readonly options: {
      readonly id: string;
      readonly service: Service;
      readonly host: number;
    },
    private readonly onCrashingRequest: () => void,
  ) {
    this.startedAt = services.clock.now();
    this.server = new ScriptedBackendServer(options.id);
    this.server.setHandler((response, run) => this.handle(response, run));
  }

  get id(): string {
    return this.options.id;
  }

  /** The address and port that the backend server listens on. */
  get address(): string {
    return this.server.address;
  }

  /** Starts listening on a free port. */
  listen(): Promise<void> {
    return this.server.listen();
  }

  /** Closes the backend server and its connections. */
  close(): Promise<void> {
    this.isClosed = true;
    return this.server.close();
  }

  /** @param limitPerSecond - the request limit to state in answers from now on, if any */
  stateLimit(limitPerSecond: number | undefined): void {
    this.limitPerSecond = limitPerSecond;
    this.statedAtMs = limitPerSecond === undefined ? this.statedAtMs : undefined;
  }

  /** States in answers from now on that the backend server is leaving. */
  stateDeparture(): void {
    this.isLeaving = true;
    this.statedAtMs = undefined;
  }

  private handle(...[response, { body, requestId }]: Parameters<RequestHandler>): void {
    const { clock, record } = this.services;
    const { host, id: backendServerId, service } = this.options;
    const atMs = clock.monotonicMs();
    const execution: Execution = { requestId, service, backendServerId, host, atMs };
    record.executions.push(execution);
    response.once('close', () => {
      execution.end = this.endOf(response.writableFinished);
    });
    if (body.startsWith(CRASHING_PREFIX)) {
      record.serverEnds.push({ content: body, backendServerId, atMs });
      this.onCrashingRequest();
      return;
    }
    const [id = '', plannedMs, answerBytes] = body.split(' ', 3);
    const handlingMs = plannedMs === undefined ? this.handlingMsOf(id) : Number(plannedMs);
    const answer = answerBody(id, Number(answerBytes ?? 0));
    clock.after(handlingMs, () => this.respond(response, answer, execution));
  }

  private respond(
    response: Parameters<RequestHandler>[0],
    answer: string,
    execution: Execution,
  ): void {
    const { randomness } = this.services;
    const { requestId } = execution;
    if (this.hasSpoiledAnswers && randomness.integer(SPOILED_ONE_IN) === 0) {
      response.removeAllListeners('close');
      Object.assign(execution, { end: ExecutionEnd.ServerEnded });
      response.socket?.end(spoiledAnswer(requestId, answer, randomness));
      return;
    }
    response.writeHead(200, {
      [Header.requestId]: requestId,
      [Header.seal]: 'seal',
      ...this.statementHeaders(),
    });
    response.end(answer);
  }

  private handlingMsOf(id: string): number {
    return id.startsWith(SLOW_PREFIX)
      ? Number.parseInt(id.slice(SLOW_PREFIX.length), 10)
      : this.drawHandlingMs();
  }

  private endOf(isComplete: boolean): ExecutionEnd {
    if (isComplete) {
      return ExecutionEnd.Completed;
    }
    return this.isClosed ? ExecutionEnd.ServerEnded : ExecutionEnd.Cut;
  }

  private drawHandlingMs(): number {
    const { randomness } = this.services;
    const isLong = this.hasLongRuns && randomness.integer(LONG_RUN_ONE_IN) === 0;
    const { min, spread } = isLong ? LONG_HANDLING_MS : HANDLING_MS;
    return min + randomness.integer(spread);
  }

  /** Returns the headers by which an answer states the limit or the departure. */
  private statementHeaders(): Record<string, string> {
    const { isLeaving, limitPerSecond } = this;
    if (isLeaving || limitPerSecond !== undefined) {
      this.statedAtMs ??= this.services.clock.monotonicMs();
    }
    return {
      ...(limitPerSecond === undefined ? {} : { [Header.limit]: `${limitPerSecond}` }),
      ...(isLeaving ? { [Header.leaving]: '1' } : {}),
    };
  }
}
