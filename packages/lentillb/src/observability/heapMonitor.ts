/** Reports that the heap is nearly full. At its limit the process ends without a line of its own. */
import { getHeapStatistics } from 'node:v8';
import type { Clock } from '../kernel/clock.js';

/** The size of the heap and its limit, in bytes. */
export interface HeapUse {
  readonly usedBytes: number;
  readonly limitBytes: number;
}

/** The interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** The share of the limit from which on the heap is reported. */
const REPORTED_SHARE = 0.85;
/** The share of the limit below which the next report becomes possible. */
const RESET_SHARE = 0.7;

/** @returns the use of the heap of this process */
export function readHeapUse(): HeapUse {
  const { heap_size_limit: limitBytes, used_heap_size: usedBytes } = getHeapStatistics();
  return { usedBytes, limitBytes };
}

/** Checks the heap at intervals. */
export class HeapMonitor {
  private isReported = false;

  /**
   * @param clock - the clock that schedules the checks
   * @param readUse - returns the use of the heap
   * @param report - called once each time the heap becomes nearly full
   */
  constructor(
    private readonly clock: Clock,
    private readonly readUse: () => HeapUse,
    private readonly report: (use: HeapUse) => void,
  ) {}

  /** Starts the checks, which continue until the process ends. */
  start(): void {
    this.clock.after(CHECK_INTERVAL_MS, () => {
      this.check();
      this.start();
    });
  }

  private check(): void {
    const use = this.readUse();
    const share = use.usedBytes / use.limitBytes;
    if (share >= REPORTED_SHARE && !this.isReported) {
      this.report(use);
    }
    this.isReported = share >= REPORTED_SHARE || (this.isReported && share >= RESET_SHARE);
  }
}
