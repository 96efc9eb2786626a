/** One open link to another node, on either of its ends. */
import { create } from '@bufbuild/protobuf';
import type { Announcement, PeerMessage, Progress } from '@lentillb/protocol';
import { LinkRole, PeerMessageSchema } from '@lentillb/protocol';
import { decodeState, encodeState } from '../distribution/configurationRecord.js';
import { fromPlainState, toPlainState } from '../distribution/configurationState.js';
import { Offer } from '../distribution/versionStore.js';
import type { Services } from '../kernel/services.js';
import { MessageQueue } from '../utils/messageQueue.js';

/** How often a link passes something even if there is nothing to say, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 3_000;
/** After this long without a message a link counts as silent, in milliseconds. */
export const SILENCE_TIMEOUT_MS = 2 * HEARTBEAT_INTERVAL_MS + 500;
/** How long a record may take by its usual way before it is asked for, in milliseconds. */
const RECORD_REQUEST_DELAY_MS = 100;
/** How long two digests may differ before announcements are compared, in milliseconds. */
const DIGEST_MISMATCH_DELAY_MS = 1_000;
/** How many messages may wait for a slow peer before it is dropped. */
const MAX_QUEUED_MESSAGES = 4_096;

/** Which end of a link a node is. */
export const LinkSide = { Opened: 'opened', Accepted: 'accepted' } as const;
export type LinkSide = (typeof LinkSide)[keyof typeof LinkSide];

/** Why a link ended. */
export const LinkCloseReason = {
  Closed: 'closed',
  Silent: 'silent',
  Slow: 'slow',
  Broken: 'broken',
} as const;
export type LinkCloseReason = (typeof LinkCloseReason)[keyof typeof LinkCloseReason];

type MessageKind = NonNullable<PeerMessage['kind']['case']>;
type MessageValue<Kind extends MessageKind> = Extract<PeerMessage['kind'], { case: Kind }>['value'];

type Needs = Pick<
  Services,
  'clock' | 'convergence' | 'fleet' | 'identity' | 'settings' | 'versionStore'
>;

/** What a link is made from. */
export interface LinkOptions {
  readonly side: LinkSide;
  /** What the opening side uses the link for; learned from its hello on the other side. */
  readonly role: LinkRole;
}

/** One open link. */
export class PeerLink {
  /** Messages to the other node. */
  readonly outbound = new MessageQueue<PeerMessage>(MAX_QUEUED_MESSAGES);

  readonly side: LinkSide;

  private linkRole: LinkRole;

  private peerHost: string | undefined;

  /** The last record offset known to be at the other node or on its way there. */
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
      if (outcome === Offer.Early) {
        this.requestMissingRecords();
      }
    },
    state: ({ data }) => {
      const state = decodeState(data).andThen(fromPlainState);
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

  /** The announcement being taken in, so that it is not sent back to where it came from. */
  private announcementBeingMerged: Announcement | undefined;

  constructor(
    private readonly services: Needs,
    { side, role }: LinkOptions,
  ) {
    this.side = side;
    this.linkRole = role;
    this.lastReceivedMs = services.clock.monotonicMs();
  }

  /** The host at the other end; undefined before its hello. */
  get host(): string | undefined {
    return this.peerHost;
  }

  /** What the opening side uses the link for. */
  get role(): LinkRole {
    return this.linkRole;
  }

  /** Whether the other node is below this one in the tree of its zone. */
  get toChild(): boolean {
    return this.side === LinkSide.Accepted && this.linkRole === LinkRole.PARENT;
  }

  /** The last record offset known to be at the other node or on its way there. */
  get recordOffset(): number {
    return this.peerRecordOffset;
  }

  /** Progress of the other node and those below it, as it last said. */
  get progress(): Progress | undefined {
    return this.peerProgress;
  }

  /** Whether the other node held the same announcements when it last said what it holds. */
  get inStep(): boolean {
    return this.digestsMatch;
  }

  /**
   * Whether news is told soon. One end of a link is enough: the other one waits, and says nothing
   * if it has learnt meanwhile that its news is none.
   */
  get sendsChangesFirst(): boolean {
    if (this.linkRole === LinkRole.PARENT) {
      return true;
    }
    return this.linkRole === LinkRole.BACKUP
      ? this.side === LinkSide.Accepted
      : this.side === LinkSide.Opened;
  }

  /** Whether announcements are passed on at once. */
  private get forwardsAnnouncements(): boolean {
    return this.linkRole === LinkRole.PARENT || this.linkRole === LinkRole.ZONE;
  }

  /**
   * Serves the link until it ends.
   *
   * @param inbound - the messages of the other node
   * @param signal - ends the link
   * @returns why it ended
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

  /** Aborted when the link ends; ends the connection under it. */
  get closeSignal(): AbortSignal {
    return this.abortController.signal;
  }

  /**
   * Ends the link.
   *
   * @param closeReason - why
   */
  close(closeReason: LinkCloseReason): void {
    this.closeReason ??= closeReason;
    this.outbound.close();
    this.abortController.abort();
  }

  /** Passes new records to a child; tells everybody else that there are some. */
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
   * Passes an announcement on, unless the other node is where it came from.
   *
   * @param announcement - an announcement that was new to this node
   */
  forwardAnnouncement(announcement: Announcement): void {
    if (this.forwardsAnnouncements && this.announcementBeingMerged !== announcement) {
      this.send('announcements', { announcements: [announcement] });
    }
  }

  /** Sends a heartbeat where it says something the last one did not. */
  sendHeartbeatIfChanged(): void {
    const heartbeat = this.createHeartbeat();
    const { below, zones, through } = heartbeat;
    // What the other node has already is no news to it.
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
      if (clock.monotonicMs() - this.lastReceivedMs > SILENCE_TIMEOUT_MS) {
        this.close(LinkCloseReason.Silent);
      } else if (!this.abortController.signal.aborted && this.side === LinkSide.Opened) {
        // The other side answers: one exchange, whose packets acknowledge each other.
        this.send('heartbeat', { ...this.createHeartbeat(), zones: [], reply: true });
      }
    }
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
      this.send('state', { data: encodeState(toPlainState(versionStore.state)) });
    }
    this.peerRecordOffset = Math.max(this.peerRecordOffset, versionStore.through);
  }

  /** Asks for records the other node has and this one has not, if they do not come by themselves. */
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

  /** A difference that lasts while nothing changes is no message under way: compare in detail. */
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
