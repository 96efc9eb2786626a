/** Knows which process was heard at the gate of each host. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Clock } from '../kernel/clock.js';
import { processIdOf } from './gateProtocol.js';

interface GateProcess {
  readonly id: number;
  /** When it was heard first, in milliseconds of the monotonic clock. */
  readonly heardAtMs: number;
}

/** The process that was heard last at each gate. */
export class GateProcesses {
  private readonly byAddress = new Map<string, GateProcess>();

  /** @param clock - the clock by which it is told whether a process was heard before a request */
  constructor(private readonly clock: Clock) {}

  /**
   * Records the process that an answer of a gate names, if it names one.
   *
   * @param gateAddress - the address and port of the gate
   * @param headers - the headers of the answer
   */
  record(gateAddress: string, headers: IncomingHttpHeaders): void {
    const id = processIdOf(headers);
    if (id !== undefined && this.byAddress.get(gateAddress)?.id !== id) {
      this.byAddress.set(gateAddress, { id, heardAtMs: this.clock.monotonicMs() });
    }
  }

  /**
   * @param gateAddress - the address and port of a gate
   * @param atMs - a time, in milliseconds of the monotonic clock
   * @returns the process that was heard there before that time; undefined if none was, or another since
   */
  heardBefore(gateAddress: string, atMs: number): number | undefined {
    const known = this.byAddress.get(gateAddress);
    return known !== undefined && known.heardAtMs <= atMs ? known.id : undefined;
  }
}
