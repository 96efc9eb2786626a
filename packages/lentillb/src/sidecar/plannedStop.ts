/** Carries out a planned stop of a node, step by step. */
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { CallerListener } from '../serving/callerListener.js';
import type { Entry } from '../serving/entry.js';
import type { Gate } from '../serving/gate.js';
import { planStop } from './stopPlan.js';
import type { StopPlan } from './stopPlan.js';

/** Interval at which a stopping node checks whether it is idle, in milliseconds. */
const IDLE_POLL_MS = 50;
/** How long the last answers may take to be sent, in milliseconds; a part of the reserve for exiting. */
const LAST_ANSWERS_MS = 100;

/** The parts of a node that take requests. */
export interface StoppingParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly entry: Entry;
  readonly gate: Gate;
  /** The listener for the callers of this host, and for the calls of runs on it. */
  readonly callers: CallerListener;
  /** The listener for other nodes. */
  readonly gateListener: CallerListener;
}

/** A planned stop of a node. */
export class PlannedStop {
  readonly plan: StopPlan;

  /**
   * @param parts - the parts of the node that take requests
   * @param timeoutMs - the time after which the platform kills the process, in milliseconds
   */
  constructor(
    private readonly parts: StoppingParts,
    timeoutMs: number,
  ) {
    this.plan = planStop(parts.clock.monotonicMs(), timeoutMs);
  }

  /** The time that remains until the end of the stop, in milliseconds. */
  get remainingMs(): number {
    return Math.max(0, this.plan.endsAtMs - this.parts.clock.monotonicMs());
  }

  /** Runs the steps; returns when nothing is in flight, or at the end of the stop. */
  async run(): Promise<void> {
    const { callers, clock, entry, gate, gateListener, log } = this.parts;
    const { endsAtMs, gateClosesAtMs, listenerClosesAtMs } = this.plan;
    log.record(Importance.Notable, 'stopping', { inFlight: callers.inFlight });
    callers.startDraining();
    entry.startStopping(this.plan);
    gate.startStopping(this.plan);
    await this.waitUntil(gateClosesAtMs, () => false);
    const waiting = gate.close();
    log.record(Importance.Notable, 'gate-closed', { waiting, running: gate.inFlight });
    // Runs on this host may make calls, which arrive on connections of their own.
    await this.waitUntil(listenerClosesAtMs, () => gate.inFlight === 0);
    await callers.stopGracefully();
    // The answer of a run that has ended may still have to be sent to another node.
    await this.waitUntil(
      endsAtMs,
      () => gate.inFlight + callers.inFlight + gateListener.inFlight === 0,
    );
    const unended = entry.endAll();
    await this.waitUntil(clock.monotonicMs() + LAST_ANSWERS_MS, () => callers.inFlight === 0);
    log.record(Importance.Notable, 'stopped', { inFlight: callers.inFlight, unended });
  }

  private async waitUntil(untilMs: number, isDone: () => boolean): Promise<void> {
    const { clock } = this.parts;
    for (;;) {
      const remainingMs = untilMs - clock.monotonicMs();
      if (remainingMs <= 0 || isDone()) {
        return;
      }
      await clock.sleep(Math.min(IDLE_POLL_MS, remainingMs));
    }
  }
}
