/** One end of an open link between two nodes. */
import { create } from '@bufbuild/protobuf';
import type { Announcement, PeerMessage, Progress } from '@lentillb/protocol';
import { LinkRole, PeerMessageSchema } from '@lentillb/protocol';
import { decodeState, encodeState } from '../distribution/configurationRecord.js';
import { fromSerializableState, toSerializableState } from '../distribution/configurationState.js';
import { OfferResult } from '../distribution/versionStore.js';
import type { Services } from '../kernel/services.js';
import { MessageQueue } from '../utils/messageQueue.js';
import { waitForPendingInput } from '../utils/pendingInput.js';

/** The interval of heartbeats that are sent even without a change, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 3_000;
/** The time without a received message after which a link is closed, in milliseconds. */
export const SILENCE_TIMEOUT_MS = 2 * HEARTBEAT_INTERVAL_MS + 500;
/**
 * The delay before a missing record is requested, in milliseconds, because it may still arrive by
 * itself.
 */
const RECORD_REQUEST_DELAY_MS = 100;
/** The delay before announcements are compared after two digests differ, in milliseconds. */
const DIGEST_MISMATCH_DELAY_MS = 1_000;
/** The maximum number of messages queued for a slow peer; with more, the link is closed. */
const MAX_QUEUED_MESSAGES = 4_096;

/** Whether this node opened a link or accepted it. */
export const LinkSide = { Opened: 'opened', Accepted: 'accepted' } as const;
export type LinkSide = (typeof LinkSide)[keyof typeof LinkSide];

/** The reasons why a link is closed. */
export const LinkCloseReason = {
  Closed: 'closed',
  Silent: 'silent',
  Slow: 'slow',
  Broken: 'broken',
} as const;
export type LinkCloseReason = (typeof LinkCloseReason)[keyof typeof LinkCloseReason];

type MessageKind = NonNullable<PeerMessage['kind']['case']>;
type MessageValue<Kind extends MessageKind> = Extract<PeerMessage['kind'], { case: Kind }>['value'];

type Dependencies = Pick<
  Services,
  'clock' | 'convergence' | 'fleet' | 'identity' | 'settings' | 'versionStore'
>;

/** Options of a {@link PeerLink}. */
export interface LinkOptions {
  readonly side: LinkSide;
  /** The purpose of the link, which the accepting side learns from the hello. */
  readonly role: LinkRole;
}

/** Exchanges records, announcements and progress with one other node. */
export class PeerLink {
  /** The queue of messages to the other node. */
  readonly outbound = new MessageQueue<PeerMessage>(MAX_QUEUED_MESSAGES);

  readonly side: LinkSide;

  private linkRole: LinkRole;

  private peerHost: string | undefined;

  /** The offset of the last record the other node has or was sent; -1 if none is known. */
  private peerRecordOffset = -1;

  private peerProgress: Progress | undefined;

  private lastReceivedMs: number;

  private lastHeartbeatKey = '';

  private peerDigest = 0;

  private comparisonPending = false;

  private digestsMatch = false;

  private recordRequestPending = false;

  private readonly abortController = new AbortController();

  private closeReason: LinkCloseReason | undefined;

  private readonly handlers: {
    readonly [Kind in MessageKind]: (value: MessageValue<Kind>) => void;
  } = {
    hello: (hello) => {
      this.peerHost = hello.host;
      this.peerRecordOffset = Number(hello.through);
      if (this.side === LinkSide.Accepted) {
        this.linkRole = hello.role;
        this.compareBuckets(hello.buckets?.digests ?? []);
      }
      this.forwardRecords();
      this.requestMissingRecords();
    },
    heartbeat: (heartbeat) => {
      this.peerRecordOffset = Math.max(this.peerRecordOffset, Number(heartbeat.through));
      this.peerProgress = heartbeat.below;
      this.services.convergence.updateZones(heartbeat.zones);
      this.services.convergence.refresh();
      this.compareDigest(heartbeat.digest);
      this.requestMissingRecords();
      if (heartbeat.reply) {
        this.send('heartbeat', { ...this.createHeartbeat(), zones: [] });
      }
    },
    record: (record) => {
      const outcome = this.services.versionStore.offer({
        offset: Number(record.offset),
        appendedAt: new Date(Number(record.appendedAtMs)),
        data: record.data,
      });
      this.peerRecordOffset = Math.max(this.peerRecordOffset, Number(record.offset));
      if (outcome === OfferResult.Early) {
        this.requestMissingRecords();
      }
    },
    state: ({ data }) => {
      const state = decodeState(data).andThen(fromSerializableState);
      if (state.isOk()) {
        this.services.versionStore.adopt(state.value, `host ${this.peerHost}`);
      }
    },
    recordRequest: ({ after }) => this.sendRecordsAfter(Number(after)),
    announcements: ({ announcements }) =>
      announcements.forEach((announcement) => this.receiveAnnouncement(announcement)),
    buckets: ({ digests }) => this.compareBuckets(digests),
    summaries: ({ buckets, summaries, reply }) => {
      const newerAnnouncements = this.services.fleet.findNewerAnnouncements(buckets, summaries);
      if (newerAnnouncements.length > 0) {
        this.send('announcements', { announcements: [...newerAnnouncements] });
      }
      if (reply) {
        this.sendSummaries(buckets, false);
      }
    },
  };

  /** The received announcement being merged, kept so that it is not sent back to its sender. */
  private announcementBeingMerged: Announcement | undefined;

  constructor(
    private readonly services: Dependencies,
    { side, role }: LinkOptions,
  ) {
    this.side = side;
    this.linkRole = role;
    this.lastReceivedMs = services.clock.monotonicMs();
  }

  /** The host at the other end; undefined until its hello is received. */
  get host(): string | undefined {
    return this.peerHost;
  }

  /** The purpose for which the opening side uses the link. */
  get role(): LinkRole {
    return this.linkRole;
  }

  /** Whether the other node is a child of this node in the tree of the zone. */
  get toChild(): boolean {
    return this.side === LinkSide.Accepted && this.linkRole === LinkRole.PARENT;
  }

  /** The offset of the last record the other node has or was sent; -1 if none is known. */
  get recordOffset(): number {
    return this.peerRecordOffset;
  }

  /** The last reported progress of the other node and the nodes below it. */
  get progress(): Progress | undefined {
    return this.peerProgress;
  }

  /** Whether the last digest received from the other node equals the digest of this node. */
  get announcementsMatch(): boolean {
    return this.digestsMatch;
  }

  /**
   * Whether this end sends a changed heartbeat after the short delay. On links outside the tree
   * only one end does so: the other end waits longer, and sends nothing if its heartbeat holds no
   * change any more.
   */
  get sendsChangesFirst(): boolean {
    if (this.linkRole === LinkRole.PARENT) {
      return true;
    }
    return this.linkRole === LinkRole.BACKUP
      ? this.side === LinkSide.Accepted
      : this.side === LinkSide.Opened;
  }

  /** Whether announcements are forwarded over this link immediately. */
  private get forwardsAnnouncements(): boolean {
    return this.linkRole === LinkRole.PARENT || this.linkRole === LinkRole.ZONE;
  }

  /**
   * Sends the hello and heartbeats and handles received messages until the link is closed.
   *
   * @param inbound - the messages of the other node
   * @param signal - closes the link when aborted
   * @returns the reason why the link was closed
   */
  async run(inbound: AsyncIterable<PeerMessage>, signal: AbortSignal): Promise<LinkCloseReason> {
    const closeOnAbort = (): void => this.close(LinkCloseReason.Closed);
    signal.addEventListener('abort', closeOnAbort, { once: true });
    this.sendHello();
    const heartbeats = this.keepAlive();
    try {
      for await (const message of inbound) {
        this.lastReceivedMs = this.services.clock.monotonicMs();
        this.receive(message);
        if (this.abortController.signal.aborted) {
          break;
        }
      }
    } catch {
      this.closeReason ??= LinkCloseReason.Broken;
    } finally {
      signal.removeEventListener('abort', closeOnAbort);
      this.close(LinkCloseReason.Closed);
    }
    await heartbeats;
    return this.closeReason ?? LinkCloseReason.Closed;
  }

  /** A signal that aborts when the link closes, and closes the connection under it. */
  get closeSignal(): AbortSignal {
    return this.abortController.signal;
  }

  /**
   * Closes the link; only the reason of the first call is kept.
   *
   * @param reason - the reason for closing
   */
  close(reason: LinkCloseReason): void {
    this.closeReason ??= reason;
    this.outbound.close();
    this.abortController.abort();
  }

  /** Sends new records if the other node is a child; other nodes learn of them by heartbeat. */
  forwardRecords(): void {
    const { versionStore } = this.services;
    if (
      this.toChild &&
      this.peerHost !== undefined &&
      versionStore.through > this.peerRecordOffset
    ) {
      this.sendRecordsAfter(this.peerRecordOffset);
    }
  }

  /**
   * Forwards an announcement over a link of the tree or between zones, except to its sender.
   *
   * @param announcement - an announcement that was new to this node
   */
  forwardAnnouncement(announcement: Announcement): void {
    if (this.forwardsAnnouncements && this.announcementBeingMerged !== announcement) {
      this.send('announcements', { announcements: [announcement] });
    }
  }

  /** Sends a heartbeat if its offset or progress differs from that of the last one sent. */
  sendHeartbeatIfChanged(): void {
    const heartbeat = this.createHeartbeat();
    const { below, zones, through } = heartbeat;
    // An offset that the other node has already reached counts as no change.
    const record =
      this.peerRecordOffset >= this.services.versionStore.through ? '' : String(through);
    const progress = [...zones, ...(below === undefined ? [] : [below])].map(
      ({ zone, nodes, lowestVersion }) => `${zone} ${nodes} ${lowestVersion}`,
    );
    const key = [record, ...progress].join();
    if (key !== this.lastHeartbeatKey) {
      this.lastHeartbeatKey = key;
      this.send('heartbeat', heartbeat);
    }
  }

  private createHeartbeat(): {
    through: bigint;
    digest: number;
    below?: Progress;
    zones: Progress[];
  } {
    const { convergence, fleet, versionStore } = this.services;
    const toParent = this.side === LinkSide.Opened && this.linkRole === LinkRole.PARENT;
    const includesZones = this.toChild || this.linkRole === LinkRole.ZONE;
    return {
      through: BigInt(versionStore.through),
      digest: fleet.digest(),
      below: toParent ? convergence.subtreeProgress() : undefined,
      zones: includesZones ? convergence.zonesFor(this.linkRole) : [],
    };
  }

  private async keepAlive(): Promise<void> {
    const { clock } = this.services;
    while (!this.abortController.signal.aborted) {
      await clock.sleep(HEARTBEAT_INTERVAL_MS, this.abortController.signal);
      if (await this.isSilent()) {
        this.close(LinkCloseReason.Silent);
      } else if (!this.abortController.signal.aborted && this.side === LinkSide.Opened) {
        // Only the opening side sends, and the other side replies: this is one exchange, whose
        // packets acknowledge each other.
        this.send('heartbeat', { ...this.createHeartbeat(), zones: [], reply: true });
      }
    }
  }

  /** Whether nothing has been received for too long, also once all pending input has been read. */
  private async isSilent(): Promise<boolean> {
    const isOverdue = (): boolean =>
      this.services.clock.monotonicMs() - this.lastReceivedMs > SILENCE_TIMEOUT_MS;
    if (isOverdue()) {
      await waitForPendingInput();
    }
    return isOverdue();
  }

  private receive({ kind }: PeerMessage): void {
    if (kind.case !== undefined) {
      const handle = this.handlers[kind.case] as (value: unknown) => void;
      handle(kind.value);
    }
  }

  private receiveAnnouncement(announcement: Announcement): void {
    this.announcementBeingMerged = announcement;
    this.services.fleet.merge(announcement);
    this.announcementBeingMerged = undefined;
  }

  private sendHello(): void {
    const { fleet, identity, settings, versionStore } = this.services;
    this.send('hello', {
      host: settings.host,
      zone: settings.zone,
      incarnation: BigInt(identity.incarnation),
      role: this.linkRole,
      through: BigInt(versionStore.through),
      buckets: { digests: [...fleet.bucketDigests()] },
    });
  }

  private sendRecordsAfter(offset: number): void {
    const { versionStore } = this.services;
    const records = offset < 0 ? undefined : versionStore.recordsAfter(offset);
    if (records !== undefined) {
      records.forEach((record) =>
        this.send('record', {
          offset: BigInt(record.offset),
          appendedAtMs: BigInt(record.appendedAt.getTime()),
          data: record.data,
        }),
      );
    } else if (versionStore.state !== undefined) {
      this.send('state', { data: encodeState(toSerializableState(versionStore.state)) });
    }
    this.peerRecordOffset = Math.max(this.peerRecordOffset, versionStore.through);
  }

  /** Requests records that the other node has, if they do not arrive within the delay. */
  private requestMissingRecords(): void {
    const { clock, versionStore } = this.services;
    if (this.recordRequestPending || this.peerRecordOffset <= versionStore.through) {
      return;
    }
    this.recordRequestPending = true;
    clock.sleep(RECORD_REQUEST_DELAY_MS, this.abortController.signal).then(() => {
      this.recordRequestPending = false;
      if (!this.abortController.signal.aborted && this.peerRecordOffset > versionStore.through) {
        this.send('recordRequest', { after: BigInt(versionStore.through) });
      }
    });
  }

  /**
   * Starts a comparison by bucket if the digests still differ after the delay and neither of them
   * has changed: an announcement that is still in transit would have arrived by then.
   */
  private compareDigest(digest: number): void {
    const { clock, fleet } = this.services;
    const own = fleet.digest();
    this.peerDigest = digest;
    this.digestsMatch = digest === own;
    if (digest === own || this.comparisonPending) {
      return;
    }
    this.comparisonPending = true;
    clock.after(DIGEST_MISMATCH_DELAY_MS, () => {
      this.comparisonPending = false;
      const stillDiffers = this.peerDigest === digest && fleet.digest() === own;
      if (stillDiffers && !this.abortController.signal.aborted) {
        this.send('buckets', { digests: [...fleet.bucketDigests()] });
      }
    });
  }

  private compareBuckets(digests: readonly number[]): void {
    const buckets = this.services.fleet.differingBuckets(digests);
    if (buckets.length > 0) {
      this.sendSummaries(buckets, true);
    }
  }

  private sendSummaries(buckets: readonly number[], reply: boolean): void {
    const summaries = this.services.fleet.summaries(buckets);
    this.send('summaries', { buckets: [...buckets], summaries, reply });
  }

  private send<Kind extends MessageKind>(kind: Kind, value: unknown): void {
    const message = create(PeerMessageSchema, { kind: { case: kind, value } } as never);
    if (!this.outbound.push(message) && !this.abortController.signal.aborted) {
      this.close(LinkCloseReason.Slow);
    }
  }
}
