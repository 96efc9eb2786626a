/** Opens the addresses of a node. */
import { Err, Ok, Result } from 'ts-results-es';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { AddressEvents, AddressListener } from '../utils/addressListener.js';
import { runInBackground } from '../utils/background.js';

/** The delay before the second attempt, in milliseconds; each further one is twice as long. */
const FIRST_DELAY_MS = 50;
/** The longest delay between two attempts, in milliseconds: what a restart may lose by waiting. */
const MAX_DELAY_MS = 250;
/** The interval at which repeated errors of an open address are logged, in milliseconds. */
const ERROR_LOG_INTERVAL_MS = 1_000;

const OTHER_REMEDY = 'check the address in the settings and the limits of the process';

const remedies: Readonly<Record<string, string>> = {
  EADDRINUSE: 'end the process that holds the address, or change it in the settings',
  EADDRNOTAVAIL: 'give the IP address to an interface of the host, or change it in the settings',
  EACCES: 'permit the process to use the port, or change it in the settings',
};

/** The failure to open an address. */
export interface AddressFailure {
  /** The use of the address. */
  readonly use: string;
  /** The IP address and port. */
  readonly address: string;
  /** The code of the last error, such as `EADDRINUSE`. */
  readonly code: string;
  /** The number of attempts. */
  readonly attempts: number;
  /** The time from the first to the last attempt, in milliseconds. */
  readonly waitedMs: number;
  /** The action that makes the address available. */
  readonly remedy: string;
}

/**
 * Describes a failure in one line.
 *
 * @param failure - the failure
 * @returns a description that names the address, the attempts and the remedy
 */
export function describeAddressFailure(failure: AddressFailure): string {
  const { address, attempts, code, remedy, use, waitedMs } = failure;
  return `cannot open ${address} for ${use}: ${code} in ${attempts} attempts within ${waitedMs} ms; ${remedy}`;
}

/** The services that opening depends on. */
interface OpenerServices {
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Opens addresses with retries, logs their errors, and opens those again that were lost. */
export class AddressOpener {
  private readonly stopped = new AbortController();

  /** The addresses that are not open. */
  private readonly unopened = new Set<AddressListener>();

  /**
   * @param services - the services that opening depends on
   * @param timeoutMs - the time after which an address is attempted no more, in milliseconds
   */
  constructor(
    private readonly services: OpenerServices,
    private readonly timeoutMs: number,
  ) {}

  /** Whether all addresses that were to be opened are open. */
  get allOpen(): boolean {
    return this.unopened.size === 0;
  }

  /** Whether opening was stopped. */
  get isStopped(): boolean {
    return this.stopped.signal.aborted;
  }

  /**
   * Opens addresses independently of each other, in the given order as far as they are available.
   *
   * @param listeners - the listeners of the addresses
   * @returns nothing once all are open or opening was stopped; or the failure of the first address that
   * could not be opened in time
   */
  async openAll(listeners: readonly AddressListener[]): Promise<Result<undefined, AddressFailure>> {
    const opened = await Promise.all(listeners.map((listener) => this.open(listener)));
    return Result.all(opened).map(() => undefined);
  }

  /** Ends all attempts. Addresses that are closed from now on are not opened again. */
  stop(): void {
    this.stopped.abort();
  }

  private async open(listener: AddressListener): Promise<Result<undefined, AddressFailure>> {
    const { clock } = this.services;
    const startedAtMs = clock.monotonicMs();
    this.unopened.add(listener);
    let delayMs = FIRST_DELAY_MS;
    for (let attempts = 1; !this.isStopped; attempts += 1) {
      const attempt = await listener.open(this.watch(listener));
      const waitedMs = Math.round(clock.monotonicMs() - startedAtMs);
      if (attempt.isOk()) {
        this.finish(listener, attempts, waitedMs);
        break;
      }
      const failure = this.recordFailure(listener, attempt.error, { attempts, waitedMs });
      if (waitedMs >= this.timeoutMs) {
        return Err(failure);
      }
      await clock.sleep(Math.min(delayMs, this.timeoutMs - waitedMs), this.stopped.signal);
      delayMs = Math.min(MAX_DELAY_MS, delayMs * 2);
    }
    return Ok(undefined);
  }

  private finish(listener: AddressListener, attempts: number, waitedMs: number): void {
    if (this.isStopped) {
      listener.close();
      return;
    }
    this.unopened.delete(listener);
    if (attempts > 1) {
      const { address, use } = listener;
      this.services.log.record(Importance.Notable, 'address-opened', {
        use,
        address,
        attempts,
        waitedMs,
      });
    }
  }

  private recordFailure(
    { address, use }: AddressListener,
    { code = 'unknown' }: NodeJS.ErrnoException,
    tried: Pick<AddressFailure, 'attempts' | 'waitedMs'>,
  ): AddressFailure {
    const failure = { use, address, code, ...tried, remedy: remedies[code] ?? OTHER_REMEDY };
    this.services.log.record(Importance.Notable, 'address-unavailable', failure);
    return failure;
  }

  private watch(listener: AddressListener): AddressEvents {
    return { onError: this.errorRecorder(listener), onClosed: () => this.reopen(listener) };
  }

  /** Logs the first error at once, and the number of those that follow it once in an interval. */
  private errorRecorder({ address, use }: AddressListener): AddressEvents['onError'] {
    const { clock, log } = this.services;
    let unlogged = 0;
    let last: NodeJS.ErrnoException | undefined;
    let isWaiting = false;
    const logErrors = (): void => {
      const { code, message } = last ?? {};
      log.record(Importance.Notable, 'address-error', {
        use,
        address,
        code,
        message,
        count: unlogged,
      });
      unlogged = 0;
      isWaiting = true;
      clock.after(ERROR_LOG_INTERVAL_MS, () => {
        isWaiting = false;
        if (unlogged > 0) {
          logErrors();
        }
      });
    };
    return (error) => {
      last = error;
      unlogged += 1;
      if (!isWaiting) {
        logErrors();
      }
    };
  }

  /** Opens an address again that this node did not close. The node cannot serve without it. */
  private reopen(listener: AddressListener): void {
    if (this.isStopped) {
      return;
    }
    const { address, use } = listener;
    this.services.log.record(Importance.Notable, 'address-lost', { use, address });
    runInBackground(
      this.open(listener).then((opened) => {
        if (opened.isErr()) {
          throw new Error(describeAddressFailure(opened.error));
        }
      }),
    );
  }
}
