/**
 * Notices hosts that have gone silent. Answers a load in which requests are under way to hosts that
 * were cut off or lost power: without an answer, a request would wait until its deadline, and
 * further ones would follow it. Only hosts with requests under way are asked, so that the
 * cost follows the traffic, not the number of hosts.
 */
import type { Clock } from '../kernel/clock.js';
import { afterPendingInput } from '../utils/pendingInput.js';
import { Link } from './link.js';

/** How long a host with requests under way may be unheard of before it is asked, in milliseconds. */
const SUSPECT_MS = 150;
/** How often hosts are looked at, in milliseconds. */
const LOOK_MS = 50;
/** How many questions in a row stay unanswered before a host counts as silent; one may be lost. */
const SILENT_AFTER_ASKED = 3;
/** How long an answer may take, in milliseconds. */
const ASK_EVERY_MS = 100;
/** How often a silent host is asked whether it is back, in milliseconds. */
const RECHECK_MS = 500;

/** Watches the hosts that requests are under way to. */
export class LinkWatch {
  private readonly links = new Map<string, Link>();

  private readonly hostsByAddress = new Map<string, string>();

  private looking = false;

  /**
   * @param clock - the clock that time-outs go by
   * @param ask - asks a node for an answer
   * @param onChange - called when a host has gone silent, or is heard again
   */
  constructor(
    private readonly clock: Clock,
    private readonly ask: (peerAddress: string) => void,
    private readonly onChange: (host: string, silent: boolean) => void,
  ) {}

  /**
   * @param host - the address of a host
   * @returns whether it has gone silent
   */
  isSilent(host: string): boolean {
    return this.links.get(host)?.silent ?? false;
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
    const link = this.linkOf(host, peerAddress);
    if (link.waiting.size === 0) {
      link.hear(this.clock.monotonicMs());
    }
    // A function of its own for each request, since a set keeps equal ones once.
    const waiter = (): void => onSilent();
    link.waiting.add(waiter);
    this.look();
    return () => link.waiting.delete(waiter);
  }

  /** @param host - the address of a host that an answer came from */
  hear(host: string): void {
    const link = this.links.get(host);
    if (link === undefined) {
      return;
    }
    link.hear(this.clock.monotonicMs());
    if (link.silent) {
      link.silent = false;
      this.onChange(host, false);
    }
  }

  /** @param address - the address and port that a greeting came from */
  hearFrom(address: string): void {
    const host = this.hostsByAddress.get(address);
    if (host !== undefined) {
      this.hear(host);
    }
  }

  private linkOf(host: string, peerAddress: string): Link {
    const held = this.links.get(host);
    if (held?.peerAddress === peerAddress) {
      return held;
    }
    const link = new Link(peerAddress, this.clock.monotonicMs());
    this.links.set(host, link);
    this.hostsByAddress.set(peerAddress, host);
    return link;
  }

  private look(): void {
    if (!this.looking) {
      this.looking = true;
      // An answer that lies unread is heard first.
      afterPendingInput(this.clock, LOOK_MS, () => {
        this.looking = false;
        this.lookOnce();
      });
    }
  }

  private lookOnce(): void {
    const nowMs = this.clock.monotonicMs();
    let again = false;
    this.links.forEach((link, host) => {
      if (link.silent) {
        again = true;
        this.askIfDue(link, nowMs, RECHECK_MS);
      } else if (link.waiting.size > 0) {
        again = true;
        this.lookAt(host, link, nowMs);
      }
    });
    if (again) {
      this.look();
    }
  }

  private lookAt(host: string, link: Link, nowMs: number): void {
    if (link.unheardMs(nowMs) < SUSPECT_MS) {
      return;
    }
    if (link.asked >= SILENT_AFTER_ASKED && link.sinceAskedMs(nowMs) >= ASK_EVERY_MS) {
      this.declareSilent(host);
      return;
    }
    this.askIfDue(link, nowMs, ASK_EVERY_MS);
  }

  private declareSilent(host: string): void {
    const link = this.links.get(host);
    if (link !== undefined) {
      link.silent = true;
      this.onChange(host, true);
      [...link.waiting].forEach((onSilent) => onSilent());
    }
  }

  private askIfDue(link: Link, nowMs: number, everyMs: number): void {
    if (link.sinceAskedMs(nowMs) >= everyMs) {
      link.noteAsked(nowMs);
      this.ask(link.peerAddress);
    }
  }
}
