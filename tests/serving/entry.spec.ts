import fc from 'fast-check';
import { SeededRandomness } from 'lentillb';
import { Outcome } from 'lentillb/calls/callHeaders.js';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import { WeightedRotation } from 'lentillb/configuration/weightedRotation.js';
import { Directory } from 'lentillb/directory/directory.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { Figures } from 'lentillb/observability/figures.js';
import { Repetition } from 'lentillb/rules/ruleForms.js';
import { Entry } from 'lentillb/serving/entry.js';
import type { EntryAnswer } from 'lentillb/serving/entry.js';
import { GateObservations } from 'lentillb/serving/gateObservations.js';
import type { GateReply } from 'lentillb/serving/messages.js';
import { FailureCause } from 'lentillb/serving/messages.js';
import { Placer } from 'lentillb/serving/placement.js';
import { RetryAllowance } from 'lentillb/serving/retryAllowance.js';
import { wireHeaders } from '@lentillb/platform';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const SEED = 17;
const IN_CI = 1_000;
/** Set by hand for a long run. */
const RUNS = Number(process.env.LENTILLB_MODEL_RUNS ?? IN_CI);
const HOSTS = ['a', 'b', 'c', 'd', 'e'];
const MAX_BACKEND_SERVERS = 3;

/** What a gate can say, and whether the request has run, or may have. */
const Said = {
  Answered: 'answered',
  RunFailed: 'run-failed',
  Refused: 'refused',
  TurnedAway: 'turned-away',
  ConnectFailed: 'connect-failed',
  Lost: 'lost',
} as const;
type Said = (typeof Said)[keyof typeof Said];

const ran: ReadonlySet<Said> = new Set<Said>([Said.Answered, Said.RunFailed, Said.Lost]);
const reached: ReadonlySet<Said> = new Set<Said>([...ran, Said.TurnedAway]);

const report = { load: 1, serviceMs: 20 };

function answer(status: number): GateReply {
  const body = Buffer.from('ran');
  return { report, result: Ok({ status, headers: {}, body, unframed: false }) };
}

function failure(outcome: Outcome, cause: FailureCause, isReported = true): GateReply {
  return { report: isReported ? report : undefined, result: Err({ outcome, cause }) };
}

const replies: Readonly<Record<Said, () => GateReply>> = {
  [Said.Answered]: () => answer(200),
  [Said.RunFailed]: () => answer(500),
  [Said.Refused]: () => failure(Outcome.NotRun, FailureCause.NoSlotInTime),
  [Said.TurnedAway]: () => failure(Outcome.NotRun, FailureCause.Rejected),
  [Said.ConnectFailed]: () => failure(Outcome.NotRun, FailureCause.ConnectFailed, false),
  [Said.Lost]: () => failure(Outcome.Unknown, FailureCause.ConnectionLost),
};

/** An entry whose gates say what a script says, in turn. */
function fixture(repetition: Repetition, retriesAllowed: number) {
  const clock = new ManualClock();
  const randomness = new SeededRandomness(SEED);
  const configuration = new ConfigurationHolder();
  configuration.offer({
    version: 1,
    routes: [
      {
        name: 'r',
        hostname: 'a.example',
        pathPrefix: '/',
        destinations: [{ service: 's', weight: 1 }],
        repetition,
        maxBackendServers: MAX_BACKEND_SERVERS,
        timeoutMs: 1_000,
        targetLatencyMs: 400,
        priority: 1,
      },
    ],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  });
  const directory = new Directory();
  HOSTS.forEach((host) =>
    directory.merge({
      host,
      zone: 'z',
      gateAddress: `${host}:1`,
      peerAddress: `${host}:2`,
      incarnation: 1,
      sequence: 1,
      backendServer: { id: host, startedAtMs: 1, service: 's', slots: 4, state: 'ready' },
    }),
  );
  const observations = new GateObservations(clock, 20);
  const terms = { ratio: 0, extra: retriesAllowed / 0.8, windowMs: 10_000 };
  const asked: string[] = [];
  let script: readonly Said[] = [];
  const entry = new Entry(
    {
      clock,
      randomness,
      configuration,
      rotation: new WeightedRotation(randomness),
      directory,
      observations,
      placer: new Placer({ randomness, observations, isSilent: () => false }, 'z'),
      dialer: {
        call: ({ host }) => {
          const said = script[asked.length] ?? Said.Answered;
          asked.push(host);
          return Promise.resolve(replies[said]());
        },
      },
      allowance: new RetryAllowance(clock, terms, () => 1),
      log: new DecisionLog(clock, { info: () => undefined, warn: () => undefined }),
      figures: new Figures(),
    },
    { names: wireHeaders, callerService: 'c' },
  );
  const serve = (says: readonly Said[]): Promise<EntryAnswer> => {
    script = says;
    asked.length = 0;
    return entry.serve({
      method: 'GET',
      target: '/',
      headers: { host: 'a.example', [wireHeaders.requestId]: 'r1' },
      body: Buffer.alloc(0),
      cancellation: new Cancellation(),
      arrivedAtMs: clock.monotonicMs(),
    });
  };
  /** What the gates that were asked said. */
  const said = (): readonly Said[] => asked.map((_, index) => script[index] ?? Said.Answered);
  return { asked, said, serve };
}

const scripts = fc.array(fc.constantFrom(...Object.values(Said)), { maxLength: 6 });

describe('entry', () => {
  it('should send a request nowhere else after it may have run, unless it may be repeated', async () => {
    await fc.assert(
      fc.asyncProperty(scripts, async (script) => {
        const { said, serve } = fixture(Repetition.Once, 100);
        await serve(script);
        const mayHaveRun = said().filter((one) => ran.has(one));
        expect(mayHaveRun.length).toBeLessThanOrEqual(1);
        expect(mayHaveRun.length === 0 || ran.has(said().at(-1) as Said)).toBe(true);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('should refuse only what has not run, and deliver what has', async () => {
    const repetitions = fc.constantFrom(Repetition.Once, Repetition.Repeat);
    await fc.assert(
      fc.asyncProperty(scripts, repetitions, async (script, repetition) => {
        const { asked, said, serve } = fixture(repetition, 100);
        const { status } = await serve(script);
        const all = said();
        expect(status === 503).toBe(all.every((one) => !ran.has(one)));
        expect(status === 200).toBe(all.includes(Said.Answered));
        if (all.at(-1) === Said.RunFailed) {
          expect(status).toBe(500);
        }
        expect(new Set(asked.filter((_, index) => reached.has(all[index] as Said))).size).toBe(
          all.filter((one) => reached.has(one)).length,
        );
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('should reach no more backend servers than the route allows', async () => {
    await fc.assert(
      fc.asyncProperty(scripts, async (script) => {
        const { said, serve } = fixture(Repetition.Repeat, 100);
        await serve(script);
        const count = said().filter((one) => reached.has(one)).length;
        expect(count).toBeLessThanOrEqual(MAX_BACKEND_SERVERS);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('should draw once on the retries allowed for each further backend server', async () => {
    const { serve, said } = fixture(Repetition.Repeat, 4);
    const outcomes: number[] = [];
    for (let count = 0; count < 6; count += 1) {
      await serve([Said.RunFailed, Said.Answered]);
      outcomes.push(said().length);
    }
    expect(outcomes).toEqual([2, 2, 2, 2, 1, 1]);
  });
});
