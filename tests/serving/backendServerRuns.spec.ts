import fc from 'fast-check';
import { LocalBackendServer } from 'lentillb/serving/localBackendServer.js';
import type { Heartbeat } from 'lentillb/serving/localBackendServer.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const SEED = 31;
const IN_CI = 1_000;
/** Set by hand for a long run. */
const RUNS = Number(process.env.LENTILLB_MODEL_RUNS ?? IN_CI);
const STEP_MS = 100;

/** What can happen between a backend server, the network and its node. */
const Step = {
  /** Another run starts in its place, under the same identity or a new one. */
  Start: 'start',
  Beat: 'beat',
  Drain: 'drain',
  /** Its departure reaches the node, which confirms it. */
  Depart: 'depart',
  /** One of the heartbeats under way arrives, whichever. */
  Arrive: 'arrive',
} as const;

const step = fc.record({
  kind: fc.constantFrom(...Object.values(Step), Step.Arrive, Step.Beat),
  choice: fc.nat(1_000),
});

interface Drawn {
  readonly kind: (typeof Step)[keyof typeof Step];
  readonly choice: number;
}

/** The world around one node: what was sent, what arrived, what was confirmed. */
class World {
  readonly clock = new ManualClock();

  readonly node = new LocalBackendServer(this.clock, () => undefined);

  private readonly underWay: Heartbeat[] = [];

  private current = this.newRun('i-0');

  private isLeaving = false;

  private starts = 0;

  private readonly confirmed = new Set<string>();

  async play({ choice, kind }: Drawn): Promise<void> {
    await this.clock.advance(STEP_MS);
    const handlers: Readonly<Record<Drawn['kind'], () => void>> = {
      [Step.Start]: () => this.start(choice),
      [Step.Beat]: () => this.send(this.isLeaving),
      [Step.Drain]: () => this.drain(),
      [Step.Depart]: () => this.depart(),
      [Step.Arrive]: () => this.arrive(choice),
    };
    handlers[kind]();
    this.check();
  }

  /** The newest run's next heartbeat arrives: the node must know it. */
  settle(): void {
    if (!this.isLeaving) {
      this.current = { ...this.current, sequence: this.current.sequence + 1 };
      this.node.accept(this.current);
      expect(this.node.ready).toBe(true);
      expect(this.node.heartbeat).toMatchObject({
        id: this.current.id,
        startedAtMs: this.current.startedAtMs,
      });
    }
  }

  private newRun(id: string): Heartbeat {
    return {
      id,
      service: 'pages',
      address: '127.0.0.1:1',
      slots: 4,
      draining: false,
      warmupLeftMs: 0,
      sequence: 0,
      startedAtMs: this.clock.now().getTime(),
    };
  }

  private start(choice: number): void {
    this.starts += 1;
    // A backend server may come back under its identity, or another one takes its place.
    this.current = this.newRun(choice % 2 === 0 ? this.current.id : `i-${this.starts}`);
    this.isLeaving = false;
  }

  private send(draining: boolean): void {
    this.current = { ...this.current, draining, sequence: this.current.sequence + 1 };
    this.underWay.push(this.current);
  }

  private drain(): void {
    this.isLeaving = true;
    this.send(true);
  }

  private depart(): void {
    this.isLeaving = true;
    this.node.depart(this.current.id);
    this.confirmed.add(`${this.current.id} ${this.current.startedAtMs}`);
  }

  private arrive(choice: number): void {
    const [heartbeat] = this.underWay.splice(choice % Math.max(1, this.underWay.length), 1);
    if (heartbeat === undefined) {
      return;
    }
    this.node.accept(heartbeat);
    if (heartbeat.draining) {
      this.confirmed.add(`${heartbeat.id} ${heartbeat.startedAtMs}`);
    }
  }

  private check(): void {
    const { heartbeat, ready } = this.node;
    if (ready && heartbeat !== undefined) {
      expect(this.confirmed).not.toContain(`${heartbeat.id} ${heartbeat.startedAtMs}`);
    }
  }
}

describe('a backend server of which heartbeats arrive late, in any order, or never', () => {
  it('should never be sent to after its departure was confirmed, and be known again at once', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
        const world = new World();
        for (const one of steps) {
          await world.play(one);
        }
        world.settle();
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
