/** Records the decisions on arriving requests that differ from the order of their routes. */
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import { Standing } from './slotOrder.js';
import type { AdmissionDecision } from './slotQueue.js';
import { Admission } from './slotQueue.js';

/** What identifies a request in the log. */
export interface RecordedRequest {
  readonly requestId: string;
  readonly route: string;
  readonly customer?: string | undefined;
}

/** The shortest time between two log lines about the reserve, in milliseconds. */
const RESERVE_LOG_INTERVAL_MS = 1_000;

const standingNames: ReadonlyMap<Standing, string> = new Map(
  Object.entries(Standing).map(([name, standing]) => [standing, name.toLowerCase()]),
);

/** Writes the decisions of one gate to the log and the metrics. */
export class AdmissionRecorder {
  /** The number of slots that the requests of each route left to calls when it was logged last. */
  private readonly reservedByRoute = new Map<string, number>();

  private reserveLoggedAtMs = -Infinity;

  /**
   * @param clock - the clock for the interval of log lines
   * @param log - the log for decisions
   * @param metrics - the registry of the counters
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly metrics: MetricsRegistry,
  ) {}

  /**
   * Records a decision.
   *
   * @param request - the request
   * @param decision - the decision on it
   */
  record(
    { customer, requestId, route }: RecordedRequest,
    { admission, reserved, standing, waitMs }: AdmissionDecision,
  ): void {
    const name = standingNames.get(standing) ?? '';
    this.metrics.count('gate_admissions', { admission, standing: name });
    this.recordReserve(route, reserved, standing);
    const isForCalls = admission === Admission.Refused && reserved > 0;
    const isRaised = standing === Standing.Underserved || standing === Standing.Starving;
    if (isForCalls || isRaised) {
      this.log.record(
        isForCalls ? Importance.Notable : Importance.Ordinary,
        isForCalls ? 'refused-for-calls' : 'request-raised',
        { requestId, route, customer, admission, standing: name, reserved, waitMs },
      );
    }
  }

  private recordReserve(route: string, reserved: number, standing: Standing): void {
    const nowMs = this.clock.monotonicMs();
    const previous = this.reservedByRoute.get(route) ?? 0;
    const isDue = nowMs - this.reserveLoggedAtMs >= RESERVE_LOG_INTERVAL_MS;
    if (standing === Standing.Ordinary && reserved !== previous && isDue) {
      this.log.record(Importance.Notable, 'slots-reserved', { route, reserved, previous });
      this.reservedByRoute.set(route, reserved);
      this.reserveLoggedAtMs = nowMs;
    }
  }
}
