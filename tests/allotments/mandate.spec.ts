import fc from 'fast-check';
import { Mandate, rankVoters } from 'lentillb/allotments/mandate.js';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import { describe, expect, it } from 'vitest';

const HOSTS = ['a', 'b', 'c', 'd', 'e'];
const GROUP = 1;
const SEED = 31;
const DEFAULT_RUNS = 150;
const RUNS = Number(process.env.LENTILLB_MODEL_RUNS ?? DEFAULT_RUNS);
const VOTERS = rankVoters(GROUP, HOSTS);

/** Hosts that poll each other over links that may be cut. */
class Election {
  readonly clock = new EventClock();

  readonly mandates = new Map<string, Mandate>();

  /** The hosts that only hear each other. */
  side: readonly string[] = [];

  delayMs = 1;

  constructor() {
    HOSTS.forEach((host) => this.start(host));
  }

  start(host: string): void {
    const mandate: Mandate = new Mandate(
      {
        clock: this.clock,
        host,
        send: (voter, message) =>
          this.transmit(host, voter, () => {
            const answer = this.mandates.get(voter)?.receivePoll(host, message);
            this.transmit(voter, host, () => {
              if (answer !== undefined && this.mandates.get(host) === mandate) {
                mandate.receiveVote(voter, answer);
              }
            });
          }),
      },
      GROUP,
    );
    mandate.updateVoters(VOTERS);
    this.mandates.set(host, mandate);
  }

  get holders(): readonly string[] {
    return HOSTS.filter((host) => this.mandates.get(host)?.isHeld);
  }

  private transmit(from: string, to: string, deliver: () => void): void {
    this.clock.after(this.delayMs, () => {
      if (this.side.includes(from) === this.side.includes(to)) {
        deliver();
      }
    });
  }
}

const host = fc.constantFrom(...HOSTS);
const step = fc.record({
  restarted: fc.option(host, { freq: 3 }),
  side: fc.option(fc.subarray(HOSTS), { freq: 4 }),
  /** The hosts that poll; others are held up or dead. */
  polling: fc.subarray(HOSTS, { minLength: 2 }),
  delayMs: fc.constantFrom(1, 100, 900),
  ticks: fc.integer({ min: 1, max: 12 }),
});

describe('choice of an allocator', () => {
  it('should never have two allocators, whatever happens to hosts and links', async () => {
    let held = 0;
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
        const election = new Election();
        for (const { delayMs, polling, restarted, side, ticks } of steps) {
          if (restarted !== null) {
            election.start(restarted);
          }
          election.side = side ?? [];
          election.delayMs = delayMs;
          for (let tick = 0; tick < ticks; tick += 1) {
            polling.forEach((each) => election.mandates.get(each)?.poll());
            for (let part = 0; part < 5; part += 1) {
              await election.clock.runUntil(election.clock.monotonicMs() + 100);
              held += election.holders.length;
              expect(election.holders.length).toBeLessThanOrEqual(1);
            }
          }
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
    expect(held).toBeGreaterThan(RUNS);
  }, 120_000);

  it('should have another one within five seconds after a cut', async () => {
    const election = new Election();
    const run = async (durationMs: number): Promise<void> => {
      const endMs = election.clock.monotonicMs() + durationMs;
      while (election.clock.monotonicMs() < endMs) {
        election.mandates.forEach((mandate) => mandate.poll());
        await election.clock.runUntil(election.clock.monotonicMs() + 500);
      }
    };
    await run(3_000);
    const [first] = election.holders;
    expect(first).toBeDefined();
    election.side = [first as string];
    await run(5_000);
    expect(election.holders).toHaveLength(1);
    expect(election.holders).not.toContain(first);
  });
});
