/**
 * Discovers other nodes without a fixed list: a stream of the log holds the addresses of a few
 * nodes. While the log is unreachable, nodes use the addresses from the settings.
 */
import { z } from 'zod';
import type { Services } from '../kernel/services.js';
import { Deadline } from '../kernel/deadline.js';
import type { LogRecord } from '../log/log.js';
import { LogFailureKind, LogStream } from '../log/log.js';
import type { PeerAddress } from '../mesh/peerDialer.js';

/** The maximum number of records read at once; reading starts as many before the stream's end. */
const MAX_RECORDS_READ = 256;
const LOG_TIMEOUT_MS = 2_000;
/** The maximum random delay before a node without links tries to join again, in milliseconds. */
const MAX_JOIN_RETRY_DELAY_MS = 1_500;
/** The interval at which the first node of a zone reads new contacts, in milliseconds. */
const CONTACT_CHECK_INTERVAL_MS = 5_000;
/** The interval at which other nodes check that they still have a link, in milliseconds. */
const LINK_CHECK_INTERVAL_MS = 2_000;
/** The age at which a contact's record is renewed, as a ratio of the log's retention. */
const RENEWAL_AGE_RATIO = 0.25;
/** The maximum number of contacts that a node tries before it reads the log again. */
const MAX_CONTACT_ATTEMPTS = 4;
/** The time for which a temporary link stays open after the hello, in milliseconds. */
const TEMPORARY_LINK_MS = 3_000;
/** The maximum time a contact may take to send its hello, in milliseconds. */
const HELLO_TIMEOUT_MS = 1_500;
const HELLO_POLL_INTERVAL_MS = 20;

const contactSchema = z.object({
  format: z.literal(1),
  host: z.string(),
  zone: z.string(),
  address: z.string(),
  port: z.number().int(),
  incarnation: z.number(),
});

type Contact = z.infer<typeof contactSchema> & { readonly appendedAt: Date };

type Dependencies = Pick<
  Services,
  | 'announcer'
  | 'clock'
  | 'fleet'
  | 'identity'
  | 'linkKeeper'
  | 'linkTable'
  | 'log'
  | 'randomness'
  | 'settings'
  | 'topologyView'
>;

function decodeContact(record: LogRecord): Contact | undefined {
  try {
    const parsed = contactSchema.safeParse(JSON.parse(Buffer.from(record.data).toString('utf8')));
    return parsed.success ? { ...parsed.data, appendedAt: record.appendedAt } : undefined;
  } catch {
    return undefined;
  }
}

/** Joins the fleet through contacts from the log, and registers this node as a contact. */
export class Presence {
  private readonly contacts = new Map<string, Contact>();

  private nextOffset: number | undefined;

  private retentionMs = Number.POSITIVE_INFINITY;

  private hasJoined = false;

  private readonly joinListeners = new Set<() => void>();

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /** Whether the first attempt to reach another node or to register as a contact is over. */
  get joined(): boolean {
    return this.hasJoined;
  }

  /** Whether the log lists other hosts, so that a node without links has yet to find them. */
  get knowsOtherHosts(): boolean {
    return [...this.contacts.keys()].some((host) => host !== this.services.settings.host);
  }

  /**
   * Subscribes to the end of joining.
   *
   * @param listener - called once, when this node has joined
   */
  onJoined(listener: () => void): void {
    this.joinListeners.add(listener);
  }

  /**
   * Joins the fleet, and joins again whenever this node has no link.
   *
   * @param signal - stops the discovery when aborted
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, randomness } = this.services;
    while (!signal.aborted) {
      if (this.hasNoPeers()) {
        await this.join(signal);
        await clock.sleep(randomness.fraction() * MAX_JOIN_RETRY_DELAY_MS, signal);
      } else if (this.services.topologyView.current.first) {
        await this.maintainContacts(signal);
        await clock.sleep(CONTACT_CHECK_INTERVAL_MS, signal);
      } else {
        await clock.sleep(LINK_CHECK_INTERVAL_MS, signal);
      }
    }
  }

  private hasNoPeers(): boolean {
    return !this.services.linkTable.open().some((link) => link.host !== undefined);
  }

  private async join(signal: AbortSignal): Promise<void> {
    const contactsRead = await this.readContacts(signal);
    if (await this.connectToAnyContact(signal)) {
      this.markJoined();
      return;
    }
    if (contactsRead && this.hasNoPeers() && !signal.aborted) {
      await this.appendOwnContact();
    }
    this.markJoined();
  }

  /**
   * Keeps an address of the zone in the log, and connects to contacts with an incarnation that this
   * node does not know yet. Only the first node of a zone does this.
   */
  private async maintainContacts(signal: AbortSignal): Promise<void> {
    const { clock, fleet, identity, settings } = this.services;
    await this.readContacts(signal);
    const ownZoneContacts = [...this.contacts.values()].filter(
      ({ zone }) => zone === settings.zone,
    );
    const newestMs = Math.max(0, ...ownZoneContacts.map(({ appendedAt }) => appendedAt.getTime()));
    const ageMs = clock.now().getTime() - newestMs;
    // A record of an earlier run on this host can hold a port on which nothing listens any more.
    const own = this.contacts.get(settings.host);
    const outdated = own?.incarnation !== identity.incarnation;
    if (outdated || ageMs > this.retentionMs * RENEWAL_AGE_RATIO) {
      await this.appendOwnContact();
    }
    const unknownContacts = [...this.contacts.values()].filter(
      ({ host, incarnation }) => Number(fleet.get(host)?.incarnation ?? 0n) < incarnation,
    );
    await Promise.all(
      unknownContacts.slice(0, MAX_CONTACT_ATTEMPTS).map(async (contact) => {
        if (!(await this.connectTemporarily(contact, signal))) {
          // The contact is gone; it appends a new record to the log when it comes back.
          this.contacts.delete(contact.host);
        }
      }),
    );
  }

  private async readContacts(signal: AbortSignal): Promise<boolean> {
    const { clock, log } = this.services;
    const stream = LogStream.Presence;
    if (this.nextOffset === undefined) {
      const range = await log.range(stream, Deadline.after(clock, LOG_TIMEOUT_MS));
      if (range.isErr()) {
        return false;
      }
      this.nextOffset = Math.max(range.value.earliest, range.value.next - MAX_RECORDS_READ);
    }
    const request = { stream, from: this.nextOffset, limit: MAX_RECORDS_READ, waitMs: 0 };
    const batch = await log.read(request, Deadline.after(clock, LOG_TIMEOUT_MS), signal);
    if (batch.isErr()) {
      if (batch.error.kind === LogFailureKind.NotRetained) {
        this.nextOffset = undefined;
      }
      return false;
    }
    this.retentionMs = batch.value.range.retentionMs;
    batch.value.records.forEach((record) => this.storeContact(record));
    this.removeExpiredContacts();
    return true;
  }

  private storeContact(record: LogRecord): void {
    this.nextOffset = record.offset + 1;
    const contact = decodeContact(record);
    if (contact !== undefined) {
      this.contacts.set(contact.host, contact);
    }
  }

  private removeExpiredContacts(): void {
    const oldestMs = this.services.clock.now().getTime() - this.retentionMs;
    this.contacts.forEach(({ host, appendedAt }) => {
      if (appendedAt.getTime() < oldestMs) {
        this.contacts.delete(host);
      }
    });
  }

  /** Connects to a few contacts in random order, those of the own zone first, until one answers. */
  private async connectToAnyContact(signal: AbortSignal): Promise<boolean> {
    const { randomness, settings } = this.services;
    const logContacts = [...this.contacts.values()]
      .filter(({ host }) => host !== settings.host)
      .map((contact) => ({
        contact,
        order: randomness.fraction() + (contact.zone === settings.zone ? 0 : 1),
      }))
      .sort((left, right) => left.order - right.order)
      .map(({ contact }): PeerAddress => contact);
    const configuredPeers = settings.peers.map((peer): PeerAddress => {
      const separator = peer.lastIndexOf(':');
      return { address: peer.slice(0, separator), port: Number(peer.slice(separator + 1)) };
    });
    for (const peer of [...logContacts.slice(0, MAX_CONTACT_ATTEMPTS), ...configuredPeers]) {
      if (!signal.aborted && (await this.connectTemporarily(peer, signal))) {
        return true;
      }
    }
    return false;
  }

  /** Opens a temporary link; resolves to whether the other node sent its hello in time. */
  private async connectTemporarily(peer: PeerAddress, signal: AbortSignal): Promise<boolean> {
    const { announcer, clock, linkKeeper, linkTable, settings } = this.services;
    if (peer.address === settings.address && peer.port === announcer.ports.peerPort) {
      return false;
    }
    const abortController = new AbortController();
    const combinedSignal = AbortSignal.any([signal, abortController.signal]);
    const linksBefore = linkTable.open();
    const linkResult = linkKeeper.openTemporaryLink(peer, combinedSignal);
    const link = linkTable.open().find((candidate) => !linksBefore.includes(candidate));
    const deadline = Deadline.after(clock, HELLO_TIMEOUT_MS);
    while (link?.host === undefined && !deadline.expired() && link?.closeSignal.aborted === false) {
      await clock.sleep(HELLO_POLL_INTERVAL_MS, combinedSignal);
    }
    if (link?.host === undefined) {
      abortController.abort();
      return linkResult;
    }
    clock.sleep(TEMPORARY_LINK_MS, signal).then(() => abortController.abort());
    return true;
  }

  private async appendOwnContact(): Promise<void> {
    const { announcer, clock, identity, log, settings } = this.services;
    const contact = {
      format: 1,
      host: settings.host,
      zone: settings.zone,
      address: settings.address,
      port: announcer.ports.peerPort,
      incarnation: identity.incarnation,
    };
    const data = Buffer.from(JSON.stringify(contact));
    const known = this.contacts.get(settings.host);
    if (known?.incarnation === identity.incarnation && !this.needsRenewal(known)) {
      return;
    }
    const deadline = Deadline.after(clock, LOG_TIMEOUT_MS);
    const appended = await log.append(LogStream.Presence, data, deadline);
    if (appended.isOk()) {
      this.contacts.set(settings.host, { ...contact, format: 1, appendedAt: clock.now() });
    }
  }

  private needsRenewal({ appendedAt }: Contact): boolean {
    const ageMs = this.services.clock.now().getTime() - appendedAt.getTime();
    return ageMs > this.retentionMs * RENEWAL_AGE_RATIO;
  }

  private markJoined(): void {
    if (!this.hasJoined) {
      this.hasJoined = true;
      this.joinListeners.forEach((listener) => listener());
    }
  }
}
