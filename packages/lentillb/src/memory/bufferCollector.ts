/** Frees buffers that were discarded before they add up to much of a host's memory. */

/**
 * Runs the garbage collector.
 *
 * @param isMinor - whether only young objects are collected, which takes a fraction of the time
 */
export type CollectGarbage = (isMinor?: boolean) => void;

/** The length of the buffers that pass before the discarded ones are measured again, in bytes. */
const MEASURE_INTERVAL_BYTES = 6 * 1024 * 1024;
/** The length of discarded buffers above which young ones are collected, in bytes. */
const MINOR_BYTES = 12 * 1024 * 1024;
/** The length of discarded buffers above which all are collected, in bytes. */
const MAJOR_BYTES = 18 * 1024 * 1024;

/**
 * Collects garbage where long bodies and answers pass quickly. The engine weighs its heap; buffers lie
 * outside of it, and it lets some 100 MB of them wait, more than a small host has to spare.
 */
export class BufferCollector {
  private passedBytes = 0;

  /**
   * @param collectGarbage - runs the garbage collector
   * @param bufferBytes - returns the length of all buffers that have not been freed, in bytes
   */
  constructor(
    private readonly collectGarbage: CollectGarbage,
    private readonly bufferBytes: () => number = () => process.memoryUsage().arrayBuffers,
  ) {}

  /**
   * Records data that was read into buffers.
   *
   * @param bytes - its length, in bytes
   * @param heldBytes - the length of all buffers that are in use, in bytes
   */
  record(bytes: number, heldBytes: number): void {
    this.passedBytes += bytes;
    if (this.passedBytes < MEASURE_INTERVAL_BYTES) {
      return;
    }
    this.passedBytes = 0;
    if (this.bufferBytes() - heldBytes > MINOR_BYTES) {
      this.collectGarbage(true);
    }
    if (this.bufferBytes() - heldBytes > MAJOR_BYTES) {
      this.collectGarbage();
    }
  }
}
