/**
 * Measures how long connections wait to be accepted. The queue of a listener is in order, so what is
 * accepted before a connection of this process's own was established before it, and has waited longer.
 */
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Clock } from '../kernel/clock.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import { parseAddress } from '../utils/networkAddress.js';

/** The minimum time between two connections of this process to itself, in milliseconds. */
const PROBE_INTERVAL_MS = 100;
/**
 * The number of connections accepted within an interval from which on the queue is measured. Callers
 * keep their connections, so a node that is not behind accepts fewer.
 */
const MIN_ACCEPTED = 4;
/** The maximum number of connections to itself that wait at once. */
const MAX_PROBES = 64;

/** A connection of this process to its own listener that has not been accepted yet. */
interface Probe {
  readonly socket: Socket;
  /**
   * The time at which it was known to be established, in milliseconds; undefined before. A connection for
   * which the queue has no room is established only later.
   */
  establishedAtMs?: number;
}

/** Measures the queue of one listener. */
export class AcceptDelay {
  /** The probes that have not been accepted yet by their own address and port, oldest first. */
  private readonly probes = new Map<string, Probe>();

  private intervalStartMs = -Infinity;

  private acceptedInInterval = 0;

  private address = '';

  /**
   * @param services - the clock, and the metrics that get each measurement
   * @param listener - the name of the listener in the metrics
   */
  constructor(
    private readonly services: { readonly clock: Clock; readonly metrics: MetricsRegistry },
    private readonly listener: string,
  ) {}

  /**
   * Starts to measure.
   *
   * @param address - the address and port of the listener
   */
  start(address: string): void {
    this.address = address;
  }

  /**
   * Records a connection that has just been accepted. Those of this process itself are closed.
   *
   * @param socket - the connection
   * @returns how long it has waited at least, in milliseconds
   */
  recordAccepted(socket: Socket): number {
    const nowMs = this.services.clock.monotonicMs();
    const origin = `${socket.remoteAddress}:${socket.remotePort}`;
    const probe = this.probes.get(origin);
    if (probe !== undefined) {
      this.endProbe(origin, probe);
      socket.destroy();
      const waitedMs = nowMs - (probe.establishedAtMs ?? nowMs);
      this.services.metrics.observe('accept_delay_ms', waitedMs, { listener: this.listener });
      return waitedMs;
    }
    this.probeIfBusy(nowMs);
    const [oldest] = this.probes.values();
    return nowMs - (oldest?.establishedAtMs ?? nowMs);
  }

  /** Ends the connections of this process to itself. */
  close(): void {
    this.address = '';
    this.probes.forEach((probe, origin) => this.endProbe(origin, probe));
  }

  private probeIfBusy(nowMs: number): void {
    if (nowMs - this.intervalStartMs > PROBE_INTERVAL_MS) {
      this.intervalStartMs = nowMs;
      this.acceptedInInterval = 0;
    }
    this.acceptedInInterval += 1;
    if (this.acceptedInInterval === MIN_ACCEPTED && this.address !== '') {
      this.probe();
    }
  }

  private probe(): void {
    if (this.probes.size >= MAX_PROBES) {
      return;
    }
    const socket = connect(parseAddress(this.address));
    let origin: string | undefined;
    const end = (): void => {
      if (origin !== undefined) {
        this.probes.delete(origin);
      }
    };
    // A refused probe measures nothing; the listener has been closed, or its queue is full.
    socket.once('error', end);
    socket.once('close', end);
    socket.unref();
    // The connection has its local port once it is being established, in this turn.
    process.nextTick(() => {
      const { address, port } = socket.address() as Partial<AddressInfo>;
      if (address === undefined) {
        socket.destroy();
        return;
      }
      origin = `${address}:${port}`;
      const probe: Probe = { socket };
      this.probes.set(origin, probe);
      socket.once('connect', () => {
        probe.establishedAtMs = this.services.clock.monotonicMs();
      });
    });
  }

  private endProbe(origin: string, { socket }: Probe): void {
    this.probes.delete(origin);
    socket.destroy();
  }
}
