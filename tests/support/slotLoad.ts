/**
 * Plays the load of callers against the slot queues of several backend servers, in simulated time and
 * without a network. Callers ask two gates for a slot in time and a third one until the deadline, and
 * retry once after a refusal, as the entry and the callers of the platform do.
 */
import { SeededRandomness } from 'lentillb';
import { chooseRetryAfterMs } from 'lentillb/admission/retryAfter.js';
import type { Claims } from 'lentillb/admission/slotClaims.js';
import { Standing } from 'lentillb/admission/slotOrder.js';
import {
  Admission,
  ServiceTimeSample,
  SlotQueue,
  WaitLimit,
} from 'lentillb/admission/slotQueue.js';
import { StatedLimit } from 'lentillb/admission/statedLimit.js';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import { createSilentLog } from './slotQueue.js';

/** A kind of request; times are in milliseconds. */
export interface LoadKind {
  readonly name: string;
  /** Returns the requests per second at a time. */
  readonly perSecond: (atMs: number) => number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly timeoutMs: number;
  readonly priority: number;
  readonly customer?: string;
  readonly customerPriority?: number;
  /** Whether a refused caller tries again. */
  readonly retries?: boolean;
}

/** What the callers of one kind got. */
export interface LoadResult {
  asked: number;
  inTime: number;
  late: number;
  refused: number;
}

/** The decisions before customers and calls were told apart. */
export const noClaims: Claims = {
  isInEffect: false,
  rank: () => ({ standing: Standing.Ordinary, isCall: false, wasRefused: false }),
  reservedAgainst: () => 0,
  recordServed: () => undefined,
};

export interface LoadOptions {
  readonly servers: number;
  readonly slots: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Whether the order and the reserve of before are used. */
  readonly isAsBefore: boolean;
  /** The speeds of the backend servers, assigned to them in turn; 1 by default. */
  readonly speeds?: readonly number[];
}

interface Attempt {
  readonly kind: LoadKind;
  readonly startedAtMs: number;
  readonly isRetry: boolean;
}

const MS_PER_SECOND = 1_000;
const WORK_LOG_DEVIATION = 0.47;
const MAX_WAIT_SHARE = 1 / 3;
/** The wait that the entry states where the gate of a dropped request stated none, in milliseconds. */
const DROPPED_WAIT_MS = 250;

class SlotLoad {
  readonly results = new Map<string, LoadResult>();

  private readonly clock = new EventClock();

  private readonly randomness: SeededRandomness;

  private readonly queues: readonly SlotQueue[];

  constructor(private readonly options: LoadOptions) {
    const { clock } = this;
    this.randomness = new SeededRandomness(options.seed);
    this.queues = Array.from({ length: options.servers }, () => {
      const limit = new StatedLimit(clock, createSilentLog(clock));
      const claims = options.isAsBefore ? noClaims : undefined;
      const queue = new SlotQueue(clock, () => false, limit, claims);
      queue.resize(options.slots);
      return queue;
    });
  }

  async play(kinds: readonly LoadKind[]): Promise<void> {
    kinds.forEach((kind) => this.scheduleArrival(kind));
    const longestMs = Math.max(...kinds.map(({ timeoutMs }) => timeoutMs));
    await this.clock.runUntil(this.options.durationMs + longestMs);
  }

  private scheduleArrival(kind: LoadKind): void {
    const perMs = kind.perSecond(this.clock.monotonicMs()) / MS_PER_SECOND;
    this.clock.after(-Math.log(1 - this.randomness.fraction()) / perMs, () => {
      if (this.clock.monotonicMs() < this.options.durationMs) {
        this.scheduleArrival(kind);
        this.resultOf(kind.name).asked += 1;
        this.ask({ kind, startedAtMs: this.clock.monotonicMs(), isRetry: false });
      }
    });
  }

  private resultOf(name: string): LoadResult {
    const result = this.results.get(name) ?? { asked: 0, inTime: 0, late: 0, refused: 0 };
    this.results.set(name, result);
    return result;
  }

  /** Asks two gates for a slot in time, and another one until the deadline. */
  private ask(attempt: Attempt): void {
    const asked = new Set<SlotQueue>();
    const waits: number[] = [];
    const tryNext = (waitLimit: WaitLimit): boolean => {
      const queue = this.lessLoaded(asked);
      asked.add(queue);
      const waitMs = this.admit(queue, attempt, waitLimit);
      if (waitMs !== undefined) {
        waits.push(waitMs);
      }
      return waitMs === undefined;
    };
    if (
      !tryNext(WaitLimit.OnTime) &&
      !tryNext(WaitLimit.OnTime) &&
      !tryNext(WaitLimit.UntilDeadline)
    ) {
      this.refuse(attempt, Math.min(...waits));
    }
  }

  private lessLoaded(asked: ReadonlySet<SlotQueue>): SlotQueue {
    const others = this.queues.filter((queue) => !asked.has(queue));
    const pick = (): SlotQueue => others[this.randomness.integer(others.length)] as SlotQueue;
    const [left, right] = [pick(), pick()];
    const loadOf = ({ load }: SlotQueue): number => load.running + load.queued;
    return loadOf(left) <= loadOf(right) ? left : right;
  }

  private speedOf(queue: SlotQueue): number {
    const { speeds = [1] } = this.options;
    return speeds[this.queues.indexOf(queue) % speeds.length] as number;
  }

  /** Returns the stated wait of a refused request; undefined if it runs or waits. */
  private admit(queue: SlotQueue, attempt: Attempt, waitLimit: WaitLimit): number | undefined {
    const { isAsBefore } = this.options;
    const { kind, startedAtMs } = attempt;
    const { admission, waitMs } = queue.admit({
      serviceTimeKey: kind.name.split(' ')[0] as string,
      customer: kind.customer,
      customerPriority: isAsBefore ? 0 : (kind.customerPriority ?? 0),
      priority: kind.priority,
      targetLatencyMs: kind.targetMs,
      targetAtMs: startedAtMs + kind.targetMs,
      deadlineAtMs: startedAtMs + kind.timeoutMs,
      waitLimit,
      onGranted: (slot) => {
        const radius = Math.sqrt(-2 * Math.log(1 - this.randomness.fraction()));
        const normal = radius * Math.cos(2 * Math.PI * this.randomness.fraction());
        const factor = Math.exp(WORK_LOG_DEVIATION * normal - WORK_LOG_DEVIATION ** 2 / 2);
        this.clock.after((kind.workMs * factor) / this.speedOf(queue), () => {
          slot.release(ServiceTimeSample.Exact);
          this.answer(attempt);
        });
      },
      onDropped: () => this.refuse(attempt, DROPPED_WAIT_MS),
    });
    return admission === Admission.Refused ? waitMs : undefined;
  }

  private answer({ kind, startedAtMs }: Attempt): void {
    const result = this.resultOf(kind.name);
    const latencyMs = this.clock.monotonicMs() - startedAtMs;
    result.inTime += latencyMs <= kind.targetMs ? 1 : 0;
    result.late += latencyMs > kind.targetMs ? 1 : 0;
  }

  private refuse(attempt: Attempt, waitMs: number): void {
    const { isRetry, kind, startedAtMs } = attempt;
    const remainingMs = startedAtMs + kind.timeoutMs - this.clock.monotonicMs();
    if (isRetry || kind.retries !== true || remainingMs <= 0) {
      this.resultOf(kind.name).refused += 1;
      return;
    }
    const retryMs = chooseRetryAfterMs({ waitMs, remainingMs }, this.randomness);
    this.clock.after(Math.min(retryMs, remainingMs * MAX_WAIT_SHARE), () => {
      this.ask({ ...attempt, isRetry: true });
    });
  }
}

/** What callers got, by the name of the kind. */
export type LoadResults = ReadonlyMap<string, LoadResult>;

/**
 * @param kinds - the kinds of requests
 * @param options - the backend servers, the duration and the seed
 * @returns what callers got
 */
export async function playLoad(
  kinds: readonly LoadKind[],
  options: LoadOptions,
): Promise<LoadResults> {
  const load = new SlotLoad(options);
  await load.play(kinds);
  return load.results;
}

/**
 * @param results - what callers got
 * @param name - the name of a kind; all kinds by default
 * @returns the share that was answered, in time or late
 */
export function servedShare(results: LoadResults, name?: string): number {
  const counted = [...results].filter(([kind]) => name === undefined || kind === name);
  const asked = counted.reduce((sum, [, result]) => sum + result.asked, 0);
  return counted.reduce((sum, [, { inTime, late }]) => sum + inTime + late, 0) / asked;
}

/**
 * @param results - what callers got
 * @param name - the name of a kind
 * @returns the share that was answered in time
 */
export function inTimeShare(results: LoadResults, name: string): number {
  const { asked = 1, inTime = 0 } = results.get(name) ?? {};
  return inTime / asked;
}
