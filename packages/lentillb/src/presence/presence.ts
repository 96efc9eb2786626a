/**
 * How nodes find each other where no list exists: a stream of the log holds the addresses of a
 * few nodes, addresses from settings stand in for it while the log is down.
 */
import { z } from 'zod';
import type { Services } from '../kernel/services.js';
import { Deadline } from '../kernel/deadline.js';
import type { LogRecord } from '../log/log.js';
import { LogFailureKind, LogStream } from '../log/log.js';
import type { PeerAddress } from '../mesh/peerDialer.js';

/** How many of the latest records a node looks at. */
const RECORDS_READ = 256;
const LOG_TIMEOUT_MS = 2_000;
/** Nodes without a link try again after up to this long, in milliseconds. */
const ALONE_INTERVAL_MS = 1_500;
/** How often the first node of a zone looks for new contacts, in milliseconds. */
const FIRST_INTERVAL_MS = 5_000;
/** How often the others look whether they are still linked, in milliseconds. */
const IDLE_INTERVAL_MS = 2_000;
/** A contact's record is renewed when it is older than this share of the retention. */
const RENEW_SHARE = 0.25;
/** How many contacts a node tries before it looks again. */
const CONTACTS_TRIED = 4;
/** How long an introduction lasts, in milliseconds. */
const INTRODUCTION_MS = 3_000;
/** How long a contact has to say hello, in milliseconds. */
const HELLO_TIMEOUT_MS = 1_500;

const contactSchema = z.object({
  format: z.literal(1),
  host: z.string(),
  zone: z.string(),
  address: z.string(),
  port: z.number().int(),
  incarnation: z.number(),
});

type Contact = z.infer<typeof contactSchema> & { readonly appendedAt: Date };

type Needs = Pick<
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
    const plain = contactSchema.safeParse(JSON.parse(Buffer.from(record.data).toString('utf8')));
    return plain.success ? { ...plain.data, appendedAt: record.appendedAt } : undefined;
  } catch {
    return undefined;
  }
}

/** Finds other nodes, and lets itself be found. */
export class Presence {
  private readonly contacts = new Map<string, Contact>();

  private nextOffset: number | undefined;

  private retentionMs = Number.POSITIVE_INFINITY;

  private hasJoined = false;

  private readonly joinListeners = new Set<() => void>();

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /** Whether this node has met another, or has made sure it can be found. */
  get joined(): boolean {
    return this.hasJoined;
  }

  /** Whether the log names other hosts, so that being alone means not having found them yet. */
  get knowsOthers(): boolean {
    return [...this.contacts.keys()].some((host) => host !== this.services.settings.host);
  }

  /** @param listener - called once this node has joined */
  onJoined(listener: () => void): void {
    this.joinListeners.add(listener);
  }

  /** @param signal - ends the search */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, randomness } = this.services;
    while (!signal.aborted) {
      if (this.isAlone()) {
        await this.join(signal);
        await clock.sleep(randomness.fraction() * ALONE_INTERVAL_MS, signal);
      } else if (this.services.topologyView.current.first) {
        await this.serveAsContact(signal);
        await clock.sleep(FIRST_INTERVAL_MS, signal);
      } else {
        await clock.sleep(IDLE_INTERVAL_MS, signal);
      }
    }
  }

  private isAlone(): boolean {
    return !this.services.linkTable.open().some((link) => link.host !== undefined);
  }

  private async join(signal: AbortSignal): Promise<void> {
    const read = await this.readContacts(signal);
    if (await this.meetAnyone(signal)) {
      this.noteJoined();
      return;
    }
    if (read && this.isAlone() && !signal.aborted) {
      await this.appendOwn();
    }
    this.noteJoined();
  }

  /** The first node of a zone keeps an address of the zone in the log, and meets strangers. */
  private async serveAsContact(signal: AbortSignal): Promise<void> {
    const { clock, fleet, identity, settings } = this.services;
    await this.readContacts(signal);
    const ownZone = [...this.contacts.values()].filter(({ zone }) => zone === settings.zone);
    const newestMs = Math.max(0, ...ownZone.map(({ appendedAt }) => appendedAt.getTime()));
    const ageMs = clock.now().getTime() - newestMs;
    // A record of an earlier run on this host names a port that nobody listens on any more.
    const own = this.contacts.get(settings.host);
    const outdated = own?.incarnation !== identity.incarnation;
    if (outdated || ageMs > this.retentionMs * RENEW_SHARE) {
      await this.appendOwn();
    }
    const strangers = [...this.contacts.values()].filter(
      ({ host, incarnation }) => Number(fleet.get(host)?.incarnation ?? 0n) < incarnation,
    );
    await Promise.all(
      strangers.slice(0, CONTACTS_TRIED).map(async (stranger) => {
        if (!(await this.meet(stranger, signal))) {
          // It is gone; if it comes back it says so in the log.
          this.contacts.delete(stranger.host);
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
      this.nextOffset = Math.max(range.value.earliest, range.value.next - RECORDS_READ);
    }
    const request = { stream, from: this.nextOffset, limit: RECORDS_READ, waitMs: 0 };
    const batch = await log.read(request, Deadline.after(clock, LOG_TIMEOUT_MS), signal);
    if (batch.isErr()) {
      if (batch.error.kind === LogFailureKind.NotRetained) {
        this.nextOffset = undefined;
      }
      return false;
    }
    this.retentionMs = batch.value.range.retentionMs;
    batch.value.records.forEach((record) => this.takeContact(record));
    this.forgetExpired();
    return true;
  }

  private takeContact(record: LogRecord): void {
    this.nextOffset = record.offset + 1;
    const contact = decodeContact(record);
    if (contact !== undefined) {
      this.contacts.set(contact.host, contact);
    }
  }

  private forgetExpired(): void {
    const oldestMs = this.services.clock.now().getTime() - this.retentionMs;
    this.contacts.forEach(({ host, appendedAt }) => {
      if (appendedAt.getTime() < oldestMs) {
        this.contacts.delete(host);
      }
    });
  }

  /** Tries a few contacts, those of the own zone first, in random order. */
  private async meetAnyone(signal: AbortSignal): Promise<boolean> {
    const { randomness, settings } = this.services;
    const found = [...this.contacts.values()]
      .filter(({ host }) => host !== settings.host)
      .map((contact) => ({
        contact,
        order: randomness.fraction() + (contact.zone === settings.zone ? 0 : 1),
      }))
      .sort((left, right) => left.order - right.order)
      .map(({ contact }): PeerAddress => contact);
    const given = settings.peers.map((peer): PeerAddress => {
      const separator = peer.lastIndexOf(':');
      return { address: peer.slice(0, separator), port: Number(peer.slice(separator + 1)) };
    });
    for (const peer of [...found.slice(0, CONTACTS_TRIED), ...given]) {
      if (!signal.aborted && (await this.meet(peer, signal))) {
        return true;
      }
    }
    return false;
  }

  /** Opens a link for a while; resolves once the other says hello, or does not in time. */
  private async meet(peer: PeerAddress, signal: AbortSignal): Promise<boolean> {
    const { announcer, clock, linkKeeper, linkTable, settings } = this.services;
    if (peer.address === settings.address && peer.port === announcer.ports.peerPort) {
      return false;
    }
    const ending = new AbortController();
    const either = AbortSignal.any([signal, ending.signal]);
    const before = linkTable.open();
    const introduction = linkKeeper.introduce(peer, either);
    const link = linkTable.open().find((candidate) => !before.includes(candidate));
    const deadline = Deadline.after(clock, HELLO_TIMEOUT_MS);
    while (link?.host === undefined && !deadline.expired() && link?.ended.aborted === false) {
      await clock.sleep(20, either);
    }
    if (link?.host === undefined) {
      ending.abort();
      return introduction;
    }
    clock.sleep(INTRODUCTION_MS, signal).then(() => ending.abort());
    return true;
  }

  private async appendOwn(): Promise<void> {
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
    return ageMs > this.retentionMs * RENEW_SHARE;
  }

  private noteJoined(): void {
    if (!this.hasJoined) {
      this.hasJoined = true;
      this.joinListeners.forEach((listener) => listener());
    }
  }
}
