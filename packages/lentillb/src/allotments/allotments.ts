/**
 * Keeps each customer within its rate and burst over all hosts, see docs/design/017-allotments.md.
 * Nothing is sent and no timer runs while no customer of the configuration has a rate.
 */
import { Ok } from 'ts-results-es';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { MeshConfiguration } from '../configuration/meshConfiguration.js';
import { BackendServerState } from '../directory/announcement.js';
import type { Announcement } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import { hash32 } from '../utils/hash.js';
import type { AllotmentMessage, PollMessage, ReportMessage } from './allotmentMessage.js';
import {
  AllotmentMessageKind,
  decodeAllotmentMessage,
  encodeAllotmentMessage,
} from './allotmentMessage.js';
import { CustomerLease } from './customerLease.js';
import type { Admission } from './customerLease.js';
import { COUNTED_MS } from './customerTable.js';
import { GroupAllocator } from './groupAllocator.js';
import { GroupReporter } from './groupReporter.js';
import { Mandate, rankVoters } from './mandate.js';
import type { Quota, QuotaTerms } from './quotaTerms.js';
import { DEFAULT_QUOTA_TERMS, deriveQuota } from './quotaTerms.js';

/** The number of groups; it spreads the work of allocators and bounds the datagrams of an entry. */
const GROUPS = 16;
/** The interval of the polls, in milliseconds; several fit into the validity of a promise. */
const TICK_MS = 500;
/** The time for which the tables of an allocator outlast its mandate, in milliseconds. */
const SHORT_LAPSE_MS = 2_500;
/** An entry reports in one of this many ticks, unless requests wait. */
const TICKS_PER_REPORT = 2;
/** The time after a refusal until the next one of a customer is logged again, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

/** Sends datagrams without guaranteed delivery. */
export interface DatagramTransport {
  /**
   * Sends a datagram.
   *
   * @param address - the address and port of the receiving node
   * @param bytes - the datagram
   */
  sendDatagram(address: string, bytes: Buffer): void;
}

/** What the quotas depend on. */
export interface AllotmentsServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly configuration: ConfigurationHolder;
  readonly directory: Directory;
  readonly transport: DatagramTransport;
  readonly log: DecisionLog;
  readonly metrics: MetricsRegistry;
}

/** The settings of the quotas. */
export interface AllotmentsOptions {
  readonly host: string;
  /** Identifies this process among those of its host. */
  readonly processId: number;
  /** The bound; `DEFAULT_QUOTA_TERMS` if undefined. */
  readonly terms?: QuotaTerms | undefined;
  /** Returns whether the node holds its addresses and knows the announced hosts. */
  readonly isReady: () => boolean;
}

interface Group {
  readonly mandate: Mandate;
  readonly allocator: GroupAllocator;
  readonly reporter: GroupReporter;
  /** Whether the mandate was held when it was last looked at. */
  wasHeld: boolean;
  /** The time at which it was lost. */
  lostAtMs: number;
}

export const UNLIMITED: Admission = Ok({ giveBack: () => undefined });

function isMember({ backendServer }: Announcement): boolean {
  return backendServer?.state !== BackendServerState.Leaving;
}

/** Admits the requests of customers on this host, and allocates rates to other hosts. */
export class Allotments {
  private quotas = new Map<number, Quota>();

  /** The groups that have customers with a rate. */
  private groupNumbers: ReadonlySet<number> = new Set();

  private readonly groups = new Map<number, Group>();

  /** The times at which hosts left; they may hold leases for some time after. */
  private readonly leftAtMs = new Map<string, number>();

  /** The hosts that take part, and the voters of groups; undefined after a change of the hosts. */
  private members: readonly string[] | undefined;

  private knownHash: number | undefined;

  private readonly voters = new Map<number, readonly string[]>();

  private readonly loggedAtMs = new Map<string, number>();

  private readonly sent = { messages: 0, bytes: 0 };

  private readonly received = { messages: 0, bytes: 0 };

  private cancelTick: (() => void) | undefined;

  private ticks = 0;

  private isStopped = false;

  /**
   * @param services - what the quotas depend on
   * @param options - the settings
   */
  constructor(
    private readonly services: AllotmentsServices,
    private readonly options: AllotmentsOptions,
  ) {
    const { configuration, directory, metrics } = services;
    configuration.subscribe((active) => this.configure(active));
    directory.subscribe((announcement) => this.learn(announcement));
    metrics.gauge('allotment_sent_messages', () => this.sent.messages);
    metrics.gauge('allotment_sent_bytes', () => this.sent.bytes);
    metrics.gauge('allotment_received_messages', () => this.received.messages);
    metrics.gauge('allotment_received_bytes', () => this.received.bytes);
    metrics.gauge('allotment_mandates', () => this.countMandates());
  }

  /**
   * Decides whether a request of a customer is within its quota.
   *
   * @param customerName - the name of the customer; undefined for a request without one
   * @returns a permit or a refusal, at once unless the allocator has to be asked
   */
  admit(customerName: string | undefined): Admission | Promise<Admission> {
    if (customerName === undefined || this.quotas.size === 0) {
      return UNLIMITED;
    }
    const customerHash = hash32(customerName);
    const quota = this.quotas.get(customerHash);
    if (quota === undefined) {
      return UNLIMITED;
    }
    const { leases } = this.groupOf(customerHash).reporter;
    const lease = leases.get(customerHash) ?? this.createLease(quota);
    leases.set(customerHash, lease);
    const admission = lease.admit();
    if (admission instanceof Promise) {
      return admission.then((settled) => this.record(customerName, settled));
    }
    return this.record(customerName, admission);
  }

  /**
   * Handles a datagram of another node.
   *
   * @param from - the address and port of its sender
   * @param bytes - the datagram; others than those about quotas are ignored
   */
  receive(from: string, bytes: Buffer): void {
    if (this.quotas.size === 0 || !this.options.isReady()) {
      return;
    }
    const message = decodeAllotmentMessage(bytes);
    const host = this.services.directory.announcementAt(from)?.host;
    if (message !== undefined && message.group < GROUPS && host !== undefined) {
      this.received.messages += 1;
      this.received.bytes += bytes.length;
      this.handle(host, message);
    }
  }

  /** Ends all work; requests that wait are still settled. */
  stop(): void {
    this.isStopped = true;
    this.cancelTick?.();
    this.cancelTick = undefined;
  }

  private configure({ customers = [] }: MeshConfiguration): void {
    const { terms = DEFAULT_QUOTA_TERMS } = this.options;
    this.quotas = new Map(
      customers
        .filter(({ ratePerSecond }) => ratePerSecond > 0)
        .map((customer) => {
          const customerHash = hash32(customer.name);
          return [customerHash, deriveQuota(customer, customerHash, terms)];
        }),
    );
    this.groupNumbers = new Set([...this.quotas.keys()].map((hash) => hash % GROUPS));
    this.groups.forEach(({ reporter: { leases } }) =>
      leases.forEach((lease, customerHash) => {
        const quota = this.quotas.get(customerHash);
        if (quota === undefined) {
          leases.delete(customerHash);
        } else {
          lease.update(quota);
        }
      }),
    );
    if (this.quotas.size === 0) {
      this.cancelTick?.();
      this.cancelTick = undefined;
    } else if (this.cancelTick === undefined && !this.isStopped) {
      this.scheduleTick(TICK_MS * this.services.randomness.fraction());
    }
  }

  private learn(announcement: Announcement): void {
    const { host } = announcement;
    const wasMember = this.members?.includes(host) ?? true;
    if (wasMember !== isMember(announcement)) {
      this.members = undefined;
      this.knownHash = undefined;
      this.voters.clear();
      if (wasMember) {
        this.leftAtMs.set(host, this.services.clock.monotonicMs());
      }
    }
  }

  private scheduleTick(delayMs: number): void {
    this.cancelTick = this.services.clock.after(delayMs, () => {
      this.scheduleTick(TICK_MS);
      this.tick();
    });
  }

  private tick(): void {
    if (!this.options.isReady()) {
      return;
    }
    this.ticks += 1;
    this.groupNumbers.forEach((number) => {
      const group = this.groupAt(number);
      group.mandate.updateVoters(this.votersOf(number));
      group.mandate.poll();
      this.updateMandate(number, group);
      if (group.wasHeld) {
        group.allocator.maintain();
        group.allocator.ask();
      }
      if (this.ticks % TICKS_PER_REPORT === 0) {
        group.reporter.report();
      }
    });
  }

  private updateMandate(number: number, group: Group): void {
    const { isHeld } = group.mandate;
    if (isHeld === group.wasHeld) {
      return;
    }
    const nowMs = this.services.clock.monotonicMs();
    const { lostAtMs } = group;
    Object.assign(group, isHeld ? { wasHeld: isHeld } : { wasHeld: isHeld, lostAtMs: nowMs });
    this.services.log.record(Importance.Notable, 'quota-mandate', { group: number, held: isHeld });
    // Another host can't have had the mandate in a shorter time than a promise lasts.
    if (isHeld && nowMs - lostAtMs > SHORT_LAPSE_MS) {
      group.allocator.begin(group.mandate.isFirst);
      group.allocator.ask();
    }
  }

  private handle(host: string, message: AllotmentMessage): void {
    const { group: number, kind } = message;
    const group = this.groupAt(number);
    if (kind === AllotmentMessageKind.Reply) {
      group.reporter.receiveReply(host, message);
    } else if (kind === AllotmentMessageKind.Report) {
      this.receiveReport(host, number, message);
    } else if (kind === AllotmentMessageKind.Query) {
      group.reporter.receiveQuery(host, this.membersHash());
    } else if (kind === AllotmentMessageKind.Redirect) {
      group.reporter.receiveRedirect(host, message.supportedHash);
    } else if (kind === AllotmentMessageKind.Poll) {
      this.receivePoll(host, number, message);
    } else {
      group.mandate.receiveVote(host, message);
      this.updateMandate(number, group);
    }
  }

  private receivePoll(host: string, number: number, message: PollMessage): void {
    const { mandate } = this.groupAt(number);
    mandate.updateVoters(this.votersOf(number));
    this.send(host, mandate.receivePoll(host, message));
  }

  private receiveReport(host: string, number: number, message: ReportMessage): void {
    const group = this.groupAt(number);
    this.updateMandate(number, group);
    if (!group.wasHeld) {
      const { supported } = group.mandate;
      const supportedHash = supported === undefined ? 0 : hash32(supported);
      this.send(host, { kind: AllotmentMessageKind.Redirect, group: number, supportedHash });
      return;
    }
    const customers = group.allocator.receive(host, message);
    if (customers !== undefined) {
      const { processId, sequence } = message;
      const kind = AllotmentMessageKind.Reply;
      this.send(host, { kind, group: number, processId, sequence, customers });
    }
  }

  private send(host: string, message: AllotmentMessage): void {
    if (this.isStopped) {
      return;
    }
    if (host === this.options.host) {
      // Messages to itself take the same path as others, after the present one has been handled.
      this.services.clock.after(0, () => this.handle(host, message));
      return;
    }
    const address = this.services.directory.announcementOf(host)?.peerAddress;
    if (address !== undefined) {
      const bytes = encodeAllotmentMessage(message);
      this.sent.messages += 1;
      this.sent.bytes += bytes.length;
      this.services.transport.sendDatagram(address, bytes);
    }
  }

  private groupOf(customerHash: number): Group {
    return this.groupAt(customerHash % GROUPS);
  }

  private groupAt(number: number): Group {
    const known = this.groups.get(number);
    if (known !== undefined) {
      return known;
    }
    const { clock } = this.services;
    const { host, processId } = this.options;
    const send = (to: string, message: AllotmentMessage): void => this.send(to, message);
    const group = {
      mandate: new Mandate({ clock, host, send }, number),
      allocator: new GroupAllocator({
        clock,
        quotaOf: (customerHash) => this.quotas.get(customerHash),
        membersHash: () => this.membersHash(),
        hosts: () => this.holderHosts(),
        query: (to) => send(to, { kind: AllotmentMessageKind.Query, group: number }),
      }),
      reporter: new GroupReporter(
        { clock, processId, send, voters: () => this.votersOf(number) },
        number,
      ),
      wasHeld: false,
      lostAtMs: -Infinity,
    };
    this.groups.set(number, group);
    return group;
  }

  private createLease(quota: Quota): CustomerLease {
    const { clock, randomness } = this.services;
    const { reporter } = this.groupOf(quota.customerHash);
    return new CustomerLease(
      {
        clock,
        randomness,
        ask: () => reporter.ask(),
        isCutOff: () => reporter.isCutOff,
        isUnanswered: () => reporter.isUnanswered,
      },
      quota,
    );
  }

  private memberHosts(): readonly string[] {
    this.members ??= this.services.directory.announcements.filter(isMember).map(({ host }) => host);
    return this.members;
  }

  /** The hash of the hosts that take part; never 0. */
  private membersHash(): number {
    this.knownHash ??= hash32([...this.memberHosts()].sort().join(' ')) || 1;
    return this.knownHash;
  }

  private votersOf(number: number): readonly string[] {
    const voters = this.voters.get(number) ?? rankVoters(number, this.memberHosts());
    this.voters.set(number, voters);
    return voters;
  }

  /** The hosts that may hold leases: all that take part, and those that did until lately. */
  private holderHosts(): readonly string[] {
    const nowMs = this.services.clock.monotonicMs();
    this.leftAtMs.forEach((leftAtMs, host) => {
      if (nowMs - leftAtMs > COUNTED_MS) {
        this.leftAtMs.delete(host);
      }
    });
    const members = this.memberHosts();
    return [...members, ...[...this.leftAtMs.keys()].filter((host) => !members.includes(host))];
  }

  private countMandates(): number {
    return [...this.groups.values()].filter(({ mandate }) => mandate.isHeld).length;
  }

  private record(customer: string, admission: Admission): Admission {
    const { clock, log, metrics } = this.services;
    if (admission.isOk()) {
      return admission;
    }
    metrics.count('quota_refusals', { customer });
    const nowMs = clock.monotonicMs();
    if (nowMs - (this.loggedAtMs.get(customer) ?? -Infinity) >= LOG_INTERVAL_MS) {
      this.loggedAtMs.set(customer, nowMs);
      const { retryAfterMs } = admission.error;
      log.record(Importance.Notable, 'customer-limited', { customer, retryAfterMs });
    }
    return admission;
  }
}
