/** Emulates a backend server: it runs a request for the time that its work takes, without a network. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { Outcome } from '../calls/callHeaders.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { BackendAnswer, ForwardedRequest, ForwardFailure } from '../serving/messages.js';
import { FailureCause } from '../calls/failureCause.js';
import type { ServerStatement } from '../serving/serverStatement.js';
import type { RequestKind } from './scenario.js';

const HttpStatus = { Ok: 200, ServerError: 500, GatewayTimeout: 504 } as const;

/** The duration of a run that fails at once, in milliseconds. */
const FAILURE_MS = 5;

/** The services that an emulated backend server depends on. */
export interface BackendServerServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly kinds: Readonly<Record<string, RequestKind>>;
  /** Makes a call inside a run; returns whether it succeeded before the deadline. */
  readonly call: (kind: string, deadlineAtMs: number) => Promise<boolean>;
}

/** Returns a sample of the standard normal distribution, by the method of Box and Muller. */
function normalSample(randomness: Randomness): number {
  const radius = Math.sqrt(-2 * Math.log(1 - randomness.fraction()));
  return radius * Math.cos(2 * Math.PI * randomness.fraction());
}

/** Runs requests at a given speed. */
export class EmulatedBackendServer {
  private slowdown = 1;

  private failures = 0;

  private limitPerSecond: number | undefined;

  constructor(
    private readonly services: BackendServerServices,
    private readonly speed: number,
  ) {}

  /** @param factor - the factor on the duration of work from now on */
  slowDown(factor: number): void {
    this.slowdown = factor;
  }

  /** The statement of the backend server in its answers. */
  get statement(): ServerStatement {
    return { limitPerSecond: this.limitPerSecond, hasMalformedLimit: false, leaving: false };
  }

  /** @param perSecond - the request limit to state from now on, if any */
  stateLimit(perSecond: number | undefined): void {
    this.limitPerSecond = perSecond;
  }

  /** @param share - the share of requests that fail at once from now on */
  fail(share: number): void {
    this.failures = share;
  }

  /**
   * Runs a request until it is done, its deadline passes, or its caller leaves.
   *
   * @param request - the request
   * @returns the answer, or a failure if the caller left
   */
  async send(request: ForwardedRequest): Promise<Result<BackendAnswer, ForwardFailure>> {
    const { clock } = this.services;
    let isLeft = false;
    const left = new Promise<void>((resolve) => {
      request.cancellation.onCancel(() => {
        isLeft = true;
        resolve();
      });
    });
    const remainingMs = Math.max(0, request.deadlineAtMs - clock.monotonicMs());
    const status = await Promise.race([
      this.run(request),
      clock.sleep(remainingMs).then(() => HttpStatus.GatewayTimeout),
      left.then(() => HttpStatus.GatewayTimeout),
    ]);
    return isLeft
      ? Err({ outcome: Outcome.Unknown, cause: FailureCause.CallerGone })
      : Ok({ status, headers: {}, body: Buffer.alloc(0) });
  }

  private async run({ deadlineAtMs, route }: ForwardedRequest): Promise<number> {
    const { call, clock, kinds, randomness } = this.services;
    const kind = kinds[route] as RequestKind;
    if (randomness.fraction() < this.failures) {
      await clock.sleep(FAILURE_MS);
      return HttpStatus.ServerError;
    }
    await clock.sleep(this.sampleWorkMs(kind));
    for (const { kind: called, share } of kind.calls ?? []) {
      if (randomness.fraction() < share && !(await call(called, deadlineAtMs))) {
        return HttpStatus.ServerError;
      }
    }
    return HttpStatus.Ok;
  }

  private sampleWorkMs({ workLogDeviation, workMs, workTail }: RequestKind): number {
    const logMean = -(workLogDeviation ** 2) / 2;
    const factor = Math.exp(logMean + workLogDeviation * normalSample(this.services.randomness));
    const isInTail = workTail !== undefined && this.services.randomness.fraction() < workTail.share;
    const tailFactor = isInTail ? workTail.factor : 1;
    return (workMs * factor * tailFactor * this.slowdown) / this.speed;
  }
}
