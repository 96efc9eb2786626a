import fc from 'fast-check';
import { LocalBackendServer } from 'lentillb/serving/localBackendServer.js';
import type { Heartbeat } from 'lentillb/serving/localBackendServer.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const SEED = 31;
const DEFAULT_RUNS = 1_000;
/** The number of property-based runs; LENTILLB_MODEL_RUNS raises it for long runs. */
const RUNS = Number(process.env.LENTILLB_MODEL_RUNS ?? DEFAULT_RUNS);
const STEP_MS = 100;

/** The events that can occur between a backend server, the network and its node. */
const Step = {
  /** A new run replaces the current one, under the same identity or a new one. */
  Start: 'start',
  Heartbeat: 'beat',
  Drain: 'drain',
  /** The departure of the current run reaches the node, which confirms it. */
  Depart: 'depart',
  /** The current run states in an answer that it is leaving. */
  State: 'state',
  /** An arbitrary heartbeat in transit arrives. */
  Arrive: 'arrive',
} as const;

const step = fc.record({
  kind: fc.constantFrom(...Object.values(Step), Step.Arrive, Step.Heartbeat),
  choice: fc.nat(1_000),
});

interface DrawnStep {
  readonly kind: (typeof Step)[keyof typeof Step];
  readonly choice: number;
}

/** Simulates a node, its backend server, heartbeats in transit and confirmed departures. */
class Simulation {
  readonly clock = new ManualClock();

  readonly node = new LocalBackendServer(this.clock, () => undefined);

  private readonly inTransit: Heartbeat[] = [];

  private current = this.newRun('i-0');

  private isLeaving = false;

  private starts = 0;

  private readonly confirmedDepartures = new Set<string>();

  constructor() {
    this.node.finishRestoring();
  }

  async apply({ choice, kind }: DrawnStep): Promise<void> {
    await this.clock.advance(STEP_MS);
    const handlers: Readonly<Record<DrawnStep['kind'], () => void>> = {
      [Step.Start]: () => this.start(choice),
      [Step.Heartbeat]: () => this.send(this.isLeaving),
      [Step.Drain]: () => this.drain(),
      [Step.Depart]: () => this.depart(),
      [Step.State]: () => this.stateDeparture(),
      [Step.Arrive]: () => this.arrive(choice),
    };
    handlers[kind]();
    this.expectNoDepartedRunReady();
  }

  /** Delivers the next heartbeat of the newest run, which the node must then treat as current. */
  expectCurrentRunAccepted(): void {
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
    // A backend server may restart under its identity, or be replaced by another one.
    this.current = this.newRun(choice % 2 === 0 ? this.current.id : `i-${this.starts}`);
    this.isLeaving = false;
  }

  private send(draining: boolean): void {
    this.current = { ...this.current, draining, sequence: this.current.sequence + 1 };
    this.inTransit.push(this.current);
  }

  private drain(): void {
    this.isLeaving = true;
    this.send(true);
  }

  private depart(): void {
    this.isLeaving = true;
    this.node.markDeparted(this.current.id);
    this.confirmedDepartures.add(`${this.current.id} ${this.current.startedAtMs}`);
  }

  private stateDeparture(): void {
    const { id, startedAtMs } = this.current;
    const { heartbeat } = this.node;
    if (heartbeat?.id === id && heartbeat.startedAtMs === startedAtMs) {
      this.isLeaving = true;
      this.node.recordStatedDeparture(id);
      this.confirmedDepartures.add(`${id} ${startedAtMs}`);
    }
  }

  private arrive(choice: number): void {
    const [heartbeat] = this.inTransit.splice(choice % Math.max(1, this.inTransit.length), 1);
    if (heartbeat === undefined) {
      return;
    }
    this.node.accept(heartbeat);
    if (heartbeat.draining) {
      this.confirmedDepartures.add(`${heartbeat.id} ${heartbeat.startedAtMs}`);
    }
  }

  private expectNoDepartedRunReady(): void {
    const { heartbeat, ready } = this.node;
    if (ready && heartbeat !== undefined) {
      expect(this.confirmedDepartures).not.toContain(`${heartbeat.id} ${heartbeat.startedAtMs}`);
    }
  }
}

describe('local backend server with delayed, reordered or lost heartbeats', () => {
  it('should not be ready after a confirmed departure, and should accept a new run at once', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
        const simulation = new Simulation();
        for (const one of steps) {
          await simulation.apply(one);
        }
        simulation.expectCurrentRunAccepted();
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
