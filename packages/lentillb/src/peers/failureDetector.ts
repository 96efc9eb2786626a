/**
 * Notices hosts that have gone silent. Answers a load in which requests are under way to hosts that
 * were cut off or lost power: without an answer, a request would wait until its deadline, and
 * further ones would follow it. Only hosts with requests under way are asked, so that the
 * cost follows the traffic, not the number of hosts.
 */
import type { Clock } from '../kernel/clock.js';
import { afterPendingInput } from '../utils/pendingInput.js';
import { MonitoredHost } from './monitoredHost.js';

/** How long a host with requests under way may be unheard of before it is asked, in milliseconds. */
const PING_AFTER_MS = 150;
/** How often hosts are looked at, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** How many questions in a row stay unanswered before a host counts as silent; one may be lost. */
const MAX_UNANSWERED_PINGS = 3;
/** How long an answer may take, in milliseconds. */
const PING_TIMEOUT_MS = 100;
/** How often a silent host is asked whether it is back, in milliseconds. */
const SILENT_PING_INTERVAL_MS = 500;

/** Watches the hosts that requests are under way to. */
export class FailureDetector {
  private readonly monitoredHosts = new Map<string, MonitoredHost>();

  private readonly hostsByAddress = new Map<string, string>();

  private checkScheduled = false;

  /**
   * @param clock - the clock that time-outs go by
   * @param sendPing - asks a node for an answer
   * @param onChange - called when a host has gone silent, or is heard again
   */
  constructor(
    private readonly clock: Clock,
    private readonly sendPing: (peerAddress: string) => void,
    private readonly onChange: (host: string, silent: boolean) => void,
  ) {}

  /**
   * @param host - the address of a host
   * @returns whether it has gone silent
   */
  isSilent(host: string): boolean {
    return this.monitoredHosts.get(host)?.silent ?? false;
  }

  /**
   * Watches a host while a request is under way to it.
   *
   * @param host - the address of the host
   * @param peerAddress - where its node answers others
   * @param onSilent - called where it has gone silent
   * @returns ends the watch
   */
  watch(host: string, peerAddress: string, onSilent: () => void): () => void {
    const monitored = this.monitoredHostOf(host, peerAddress);
    if (monitored.silenceListeners.size === 0) {
      monitored.markHeard(this.clock.monotonicMs());
    }
    // A function of its own for each request, since a set keeps equal ones once.
    const listener = (): void => onSilent();
    monitored.silenceListeners.add(listener);
    this.scheduleCheck();
    return () => monitored.silenceListeners.delete(listener);
  }

  /** @param host - the address of a host that an answer came from */
  hear(host: string): void {
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

  /** @param address - the address and port that a greeting came from */
  hearFromAddress(address: string): void {
    const host = this.hostsByAddress.get(address);
    if (host !== undefined) {
      this.hear(host);
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
      // An answer that lies unread is heard first.
      afterPendingInput(this.clock, CHECK_INTERVAL_MS, () => {
        this.checkScheduled = false;
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
