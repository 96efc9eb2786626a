/**
 * Detects hosts that have become silent, for example because they lost power or their network
 * connection. Without detection, every request to such a host would wait until its deadline, and
 * further requests would be sent there. Only hosts with requests in flight are pinged, so the cost
 * depends on the traffic and not on the number of hosts.
 */
import type { Clock } from '../kernel/clock.js';
import { afterPendingInput } from '../utils/pendingInput.js';
import { MonitoredHost } from './monitoredHost.js';

/** How long a host with requests in flight may go unheard before it is pinged, in milliseconds. */
const PING_AFTER_MS = 150;
/** Interval between checks of the monitored hosts, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Consecutive unanswered pings after which a host counts as silent; a single datagram may be lost. */
const MAX_UNANSWERED_PINGS = 3;
/** How long the answer to a ping may take, in milliseconds. */
const PING_TIMEOUT_MS = 100;
/** Interval between pings that check whether a silent host is back, in milliseconds. */
const SILENT_PING_INTERVAL_MS = 500;

/** Monitors the hosts that have requests in flight. */
export class FailureDetector {
  private readonly monitoredHosts = new Map<string, MonitoredHost>();

  /** The monitored hosts by the peer address of their nodes. */
  private readonly hostsByAddress = new Map<string, string>();

  private checkScheduled = false;

  /**
   * @param clock - the clock for the timeouts
   * @param sendPing - sends a ping to the node at an address and port
   * @param onChange - called when a host becomes silent or is heard again
   * @param onCheck - called at each check, while any host has requests in flight
   */
  constructor(
    private readonly clock: Clock,
    private readonly sendPing: (peerAddress: string) => void,
    private readonly onChange: (host: string, silent: boolean) => void,
    private readonly onCheck: () => void = () => undefined,
  ) {}

  /**
   * @param host - the address of a host
   * @returns whether the host is silent
   */
  isSilent(host: string): boolean {
    return this.monitoredHosts.get(host)?.silent ?? false;
  }

  /**
   * Monitors a host while a request to it is in flight.
   *
   * @param host - the address of the host
   * @param peerAddress - the address and port at which its node answers other nodes
   * @param onSilent - called if the host becomes silent
   * @returns a function that ends the monitoring for this request
   */
  watch(host: string, peerAddress: string, onSilent: () => void): () => void {
    const monitored = this.monitoredHostOf(host, peerAddress);
    if (monitored.silenceListeners.size === 0) {
      monitored.markHeard(this.clock.monotonicMs());
    }
    // Each request needs its own function, because a set keeps only one of several equal ones.
    const listener = (): void => onSilent();
    monitored.silenceListeners.add(listener);
    this.scheduleCheck();
    return () => monitored.silenceListeners.delete(listener);
  }

  /**
   * Records that a host was heard.
   *
   * @param host - the address of a host that sent an answer
   */
  markHeard(host: string): void {
    const monitored = this.monitoredHosts.get(host);
    if (monitored === undefined) {
      return;
    }
    monitored.markHeard(this.clock.monotonicMs());
    if (monitored.silent) {
      monitored.silent = false;
      this.onChange(host, false);
    }
  }

  /**
   * Records that the host of a peer address was heard.
   *
   * @param address - the address and port that sent a gossip message
   */
  markAddressHeard(address: string): void {
    const host = this.hostsByAddress.get(address);
    if (host !== undefined) {
      this.markHeard(host);
    }
  }

  private monitoredHostOf(host: string, peerAddress: string): MonitoredHost {
    const known = this.monitoredHosts.get(host);
    if (known?.peerAddress === peerAddress) {
      return known;
    }
    const monitored = new MonitoredHost(peerAddress, this.clock.monotonicMs());
    this.monitoredHosts.set(host, monitored);
    this.hostsByAddress.set(peerAddress, host);
    return monitored;
  }

  private scheduleCheck(): void {
    if (!this.checkScheduled) {
      this.checkScheduled = true;
      // Answers that have already arrived but are still unread are handled first.
      afterPendingInput(this.clock, CHECK_INTERVAL_MS, () => {
        this.checkScheduled = false;
        this.onCheck();
        this.checkHosts();
      });
    }
  }

  private checkHosts(): void {
    const nowMs = this.clock.monotonicMs();
    let shouldCheckAgain = false;
    this.monitoredHosts.forEach((monitored, host) => {
      if (monitored.silent) {
        shouldCheckAgain = true;
        this.pingIfDue(monitored, nowMs, SILENT_PING_INTERVAL_MS);
      } else if (monitored.silenceListeners.size > 0) {
        shouldCheckAgain = true;
        this.checkHost(host, monitored, nowMs);
      }
    });
    if (shouldCheckAgain) {
      this.scheduleCheck();
    }
  }

  private checkHost(host: string, monitored: MonitoredHost, nowMs: number): void {
    if (monitored.sinceHeardMs(nowMs) < PING_AFTER_MS) {
      return;
    }
    if (
      monitored.unansweredPings >= MAX_UNANSWERED_PINGS &&
      monitored.sincePingMs(nowMs) >= PING_TIMEOUT_MS
    ) {
      this.markSilent(host);
      return;
    }
    this.pingIfDue(monitored, nowMs, PING_TIMEOUT_MS);
  }

  private markSilent(host: string): void {
    const monitored = this.monitoredHosts.get(host);
    if (monitored !== undefined) {
      monitored.silent = true;
      this.onChange(host, true);
      [...monitored.silenceListeners].forEach((onSilent) => onSilent());
    }
  }

  private pingIfDue(monitored: MonitoredHost, nowMs: number, intervalMs: number): void {
    if (monitored.sincePingMs(nowMs) >= intervalMs) {
      monitored.markPinged(nowMs);
      this.sendPing(monitored.peerAddress);
    }
  }
}
