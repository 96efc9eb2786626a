import { create } from '@bufbuild/protobuf';
import type { PeerMessage } from '@lentillb/protocol';
import { LinkRole, PeerMessageSchema } from '@lentillb/protocol';
import type { Services } from 'lentillb';
import { HEARTBEAT_INTERVAL_MS, LinkSide, PeerLink } from 'lentillb/mesh/peerLink.js';
import { MessageQueue } from 'lentillb/utils/messageQueue.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';
import { testSettings } from '../support/testNode.js';

const PAUSE_MS = 30_000;

/** The clock of a process that is paused: its timers fire late, and before it reads its input. */
class PausedClock extends ManualClock {
  private readInput: (() => void) | undefined;

  private pausedMs = 0;

  override monotonicMs(): number {
    return super.monotonicMs() + this.pausedMs;
  }

  override async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    await super.sleep(delayMs, signal);
    setImmediate(() => this.readInput?.());
  }

  pause(durationMs: number, readInput?: () => void): void {
    this.pausedMs += durationMs;
    this.readInput = readInput;
  }
}

let clock: PausedClock;
let inbound: MessageQueue<PeerMessage>;
let link: PeerLink;
let ended: Promise<string>;

beforeEach(() => {
  clock = new PausedClock();
  inbound = new MessageQueue(10);
  const services = {
    clock,
    settings: testSettings(),
    identity: { incarnation: 1 },
    convergence: { zonesFor: () => [], subtreeProgress: () => undefined },
    fleet: { bucketDigests: () => [], digest: () => 0 },
    versionStore: { through: 0 },
  } as unknown as Services;
  link = new PeerLink(services, { side: LinkSide.Opened, role: LinkRole.ZONE });
  ended = link.run(inbound, new AbortController().signal);
});

afterEach(async () => {
  link.close('closed');
  inbound.close();
  await clock.advance(HEARTBEAT_INTERVAL_MS);
  await ended;
});

describe('a link to another node', () => {
  it('should stay open after a pause of the process if messages have arrived meanwhile', async () => {
    clock.pause(PAUSE_MS, () => inbound.push(create(PeerMessageSchema, {})));
    await clock.advance(HEARTBEAT_INTERVAL_MS);
    expect(link.closeSignal.aborted).toBe(false);
  });

  it('should be closed if nothing arrived during a pause of the process', async () => {
    clock.pause(PAUSE_MS);
    await clock.advance(HEARTBEAT_INTERVAL_MS);
    inbound.close();
    expect(await ended).toBe('silent');
  });
});
