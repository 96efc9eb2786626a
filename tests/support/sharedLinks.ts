/** Carries transfers over links in simulated time; transfers that are under way share each link. */
import type { Clock } from 'lentillb';
import type { TransferProgress } from 'lentillb/utils/transferProgress.js';

/** The interval at which bytes are moved, in milliseconds. */
const STEP_MS = 5;
const BYTES_PER_MS_AND_MEGABIT = 125;

/** The link of one host. */
export class Link {
  /** The number of transfers that share the link now. */
  private flows = 0;

  private busyShare = 0;

  /** @param megabits - its bandwidth, in megabits per second */
  constructor(private readonly megabits: number) {}

  /** The bytes that each transfer on the link gets in a millisecond. */
  get bytesPerMs(): number {
    const free = this.megabits * (1 - this.busyShare) * BYTES_PER_MS_AND_MEGABIT;
    return free / Math.max(1, this.flows);
  }

  /** @param share - the share of the link that other traffic takes from now on */
  occupy(share: number): void {
    this.busyShare = share;
  }

  /** Adds a transfer to those that share the link. */
  open(): void {
    this.flows += 1;
  }

  /** Ends a transfer. */
  close(): void {
    this.flows -= 1;
  }
}

/**
 * Moves the bytes of one transfer.
 *
 * @param clock - the simulated clock
 * @param bytes - the size of the transfer
 * @param links - the links that it passes; its rate is the least share of them
 * @param progress - told of each part that arrives; ends the transfer early once it is cancelled
 * @returns whether all bytes arrived
 */
export async function carry(
  clock: Clock,
  bytes: number,
  links: readonly Link[],
  progress?: TransferProgress,
): Promise<boolean> {
  let remaining = bytes;
  links.forEach((link) => link.open());
  while (remaining > 0 && progress?.isCancelled !== true) {
    const rate = Math.min(...links.map(({ bytesPerMs }) => bytesPerMs));
    const part = Math.min(remaining, rate * STEP_MS);
    await clock.sleep(Math.min(STEP_MS, remaining / rate));
    remaining -= part;
    progress?.add(part);
  }
  links.forEach((link) => link.close());
  return remaining <= 0;
}
