import fc from 'fast-check';
import { SeededRandomness } from 'lentillb';
import { Outcome } from 'lentillb/calls/callHeaders.js';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import { ConfigurationStatus } from 'lentillb/configuration/configurationStatus.js';
import { SmoothWeightedRoundRobin } from 'lentillb/configuration/smoothWeightedRoundRobin.js';
import { Directory } from 'lentillb/directory/directory.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { Repetition } from 'lentillb/rules/ruleForms.js';
import { UNLIMITED } from 'lentillb/allotments/index.js';
import { Entry } from 'lentillb/serving/entry.js';
import type { EntryAnswer } from 'lentillb/serving/entry.js';
import { GateObservations } from 'lentillb/placing/gateObservations.js';
import type { CallerRequest, ForwardedRequest, GateReply } from 'lentillb/serving/messages.js';
import { FailureCause } from 'lentillb/calls/failureCause.js';
import { GateSelector } from 'lentillb/placing/gateSelector.js';
import { RetryAllowance } from 'lentillb/serving/retryAllowance.js';
import { wireHeaders } from '@lentillb/platform';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';
import { hashContent } from 'lentillb/serving/requestContent.js';
import { SuspectReportKind } from 'lentillb/directory/suspectReport.js';
import { hash32 } from 'lentillb/utils/hash.js';
import { ManualClock } from '../support/manualClock.js';
import { createSuspectGuard } from '../support/suspectGuard.js';

const SEED = 17;
const DEFAULT_RUNS = 1_000;
/** The number of property-based runs; LENTILLB_MODEL_RUNS raises it for long runs. */
const RUNS = Number(process.env.LENTILLB_MODEL_RUNS ?? DEFAULT_RUNS);
const HOSTS = ['a', 'b', 'c', 'd', 'e'];
const MAX_BACKEND_SERVERS = 3;
/** Longer than any test advances its clock, in milliseconds. */
const NEVER_MS = 1_000_000;

/** The possible replies of a gate. */
const ScriptedReply = {
  Answered: 'answered',
  RunFailed: 'run-failed',
  Refused: 'refused',
  Rejected: 'turned-away',
  ConnectFailed: 'connect-failed',
  Lost: 'lost',
  /** The request is blocked on all hosts. */
  Blocked: 'blocked',
  /** The backend server ended, and the request is blocked since. */
  BlockedSince: 'blocked-since',
} as const;
type ScriptedReply = (typeof ScriptedReply)[keyof typeof ScriptedReply];

/** The replies after which the request has run, or may have run. */
const ran: ReadonlySet<ScriptedReply> = new Set<ScriptedReply>([
  ScriptedReply.Answered,
  ScriptedReply.RunFailed,
  ScriptedReply.Lost,
  ScriptedReply.BlockedSince,
]);
/** The replies after which the request has reached a backend server. */
const reached: ReadonlySet<ScriptedReply> = new Set<ScriptedReply>([
  ...ran,
  ScriptedReply.Rejected,
]);

const report = { load: 1, serviceMs: 20 };

function answer(status: number): GateReply {
  const body = Buffer.from('ran');
  return { report, result: Ok({ status, headers: {}, body }) };
}

function failure(outcome: Outcome, cause: FailureCause, isReported = true): GateReply {
  return { report: isReported ? report : undefined, result: Err({ outcome, cause }) };
}

const replies: Readonly<Record<ScriptedReply, () => GateReply>> = {
  [ScriptedReply.Answered]: () => answer(200),
  [ScriptedReply.RunFailed]: () => answer(500),
  [ScriptedReply.Refused]: () => failure(Outcome.NotRun, FailureCause.NoSlotInTime),
  [ScriptedReply.Rejected]: () => failure(Outcome.NotRun, FailureCause.Rejected),
  [ScriptedReply.Blocked]: () => failure(Outcome.NotRun, FailureCause.SuspectRequest),
  [ScriptedReply.BlockedSince]: () => failure(Outcome.Unknown, FailureCause.SuspectRequest),
  [ScriptedReply.ConnectFailed]: () => failure(Outcome.NotRun, FailureCause.ConnectFailed, false),
  [ScriptedReply.Lost]: () => failure(Outcome.Unknown, FailureCause.ConnectionLost),
};

const REQUEST = {
  method: 'GET',
  target: '/',
  headers: { host: 'a.example', [wireHeaders.requestId]: 'r1' },
  body: Buffer.alloc(0),
};
const ENDS_BEFORE_BLOCK = 3;
const FIRST_TRIAL_MS = 10_000;

/** Creates an entry whose gates return scripted replies in turn. */
function fixture(repetition: Repetition, retriesAllowed: number) {
  const clock = new ManualClock();
  const suspectGuard = createSuspectGuard(clock);
  const randomness = new SeededRandomness(SEED);
  const configuration = new ConfigurationHolder();
  configuration.activateIfNewer({
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
  const askedHosts: string[] = [];
  const cancellations: Cancellation[] = [];
  /** Replies that a test controls itself, in place of scripted ones. */
  const silentReplies: (Promise<GateReply> | undefined)[] = [];
  const sentRequests: ForwardedRequest[] = [];
  let script: readonly ScriptedReply[] = [];
  const quota = { admission: UNLIMITED };
  const status = new ConfigurationStatus(clock, configuration);
  const entry = new Entry(
    {
      clock,
      randomness,
      configuration,
      status,
      quotas: { admit: () => quota.admission },
      rotation: new SmoothWeightedRoundRobin(randomness),
      directory,
      observations,
      gateSelector: new GateSelector(
        {
          randomness,
          observations,
          isSilent: () => false,
          metrics: new MetricsRegistry(),
          gate: { inFlight: 0 },
        },
        { host: 'none', zone: 'z' },
      ),
      gateForwarder: {
        call: ({ host }, forwarded) => {
          cancellations.push(forwarded.cancellation);
          sentRequests.push(forwarded);
          const scripted = silentReplies[askedHosts.length];
          if (scripted !== undefined) {
            askedHosts.push(host);
            return scripted;
          }
          const reply = script[askedHosts.length] ?? ScriptedReply.Answered;
          askedHosts.push(host);
          return Promise.resolve(replies[reply]());
        },
      },
      allowance: new RetryAllowance(clock, terms, () => 1),
      suspectGuard,
      log: new DecisionLog(clock, { info: () => undefined, warn: () => undefined }),
      metrics: new MetricsRegistry(),
    },
    { names: wireHeaders, callerService: 'c' },
  );
  const serve = (
    replyScript: readonly ScriptedReply[],
    request: Partial<CallerRequest> = {},
  ): Promise<EntryAnswer> => {
    script = replyScript;
    askedHosts.length = 0;
    return entry.serve({
      ...REQUEST,
      ...request,
      cancellation: new Cancellation(),
      arrivedAtMs: clock.monotonicMs(),
    });
  };
  /** Returns the replies of the gates that were asked. */
  const receivedReplies = (): readonly ScriptedReply[] =>
    askedHosts.map((_, index) => script[index] ?? ScriptedReply.Answered);
  /** Reports that backend servers ended under the request, one on each host. */
  const blockContent = (hosts: readonly string[] = HOSTS.slice(0, ENDS_BEFORE_BLOCK)): void => {
    const { method, target } = REQUEST;
    const headers = { host: REQUEST.headers.host };
    const contentHash = hashContent({ method, target, headers, body: REQUEST.body });
    hosts.forEach((host, runHash) =>
      suspectGuard.receive({
        kind: SuspectReportKind.Interrupted,
        run: { contentHash, runHash, hostHash: hash32(host), endedAtMs: clock.now().getTime() },
      }),
    );
  };
  return {
    askedHosts,
    blockContent,
    cancellations,
    clock,
    configuration,
    quota,
    observationOf: (host: string) => {
      const endpoint = directory.endpointsOf('s').find((one) => one.host === host);
      return observations.of(endpoint!);
    },
    receivedReplies,
    sentRequests,
    serve,
    silentReplies,
    status,
  };
}

const scripts = fc.array(fc.constantFrom(...Object.values(ScriptedReply)), { maxLength: 6 });

describe('entry', () => {
  it('should not avoid a host because the deadline passed before a request could be sent there', async () => {
    const { askedHosts, observationOf, serve, silentReplies } = fixture(Repetition.Repeat, 0);
    const expired = failure(Outcome.NotRun, FailureCause.WaitedTooLong, false);
    silentReplies.push(...HOSTS.map(() => Promise.resolve(expired)));
    const { status } = await serve([]);
    expect(status).toBe(503);
    expect(askedHosts.map((host) => observationOf(host).reachable)).not.toContain(false);
    expect(askedHosts.every((host) => observationOf(host).failureShare() === 0)).toBe(true);
  });

  it('should not send a non-repeatable request again after it may have run', async () => {
    await fc.assert(
      fc.asyncProperty(scripts, async (script) => {
        const { receivedReplies, serve } = fixture(Repetition.Once, 100);
        await serve(script);
        const mayHaveRun = receivedReplies().filter((one) => ran.has(one));
        expect(mayHaveRun.length).toBeLessThanOrEqual(1);
        expect(mayHaveRun.length === 0 || ran.has(receivedReplies().at(-1) as ScriptedReply)).toBe(
          true,
        );
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('should refuse only requests that have not run, and deliver answers of those that have', async () => {
    const repetitions = fc.constantFrom(Repetition.Once, Repetition.Repeat);
    await fc.assert(
      fc.asyncProperty(scripts, repetitions, async (script, repetition) => {
        const { askedHosts, receivedReplies, serve } = fixture(repetition, 100);
        const { status } = await serve(script);
        const all = receivedReplies();
        expect(status === 503).toBe(all.every((one) => !ran.has(one)));
        expect(status === 200).toBe(all.includes(ScriptedReply.Answered));
        if (all.at(-1) === ScriptedReply.RunFailed) {
          expect(status).toBe(500);
        }
        expect(
          new Set(askedHosts.filter((_, index) => reached.has(all[index] as ScriptedReply))).size,
        ).toBe(all.filter((one) => reached.has(one)).length);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('should not answer that a route does not exist while it lacks a newer version', async () => {
    const { configuration, serve, status } = fixture(Repetition.Once, 0);
    const unknown = { headers: { ...REQUEST.headers, host: 'added.example' } };
    expect((await serve([], unknown)).status).toBe(404);
    status.noteVersion(2, 'other:1');
    const refused = await serve([], unknown);
    expect(refused.status).toBe(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    expect((await serve([])).status).toBe(200);
    const { limits } = configuration.current!.configuration;
    configuration.activateIfNewer({ version: 2, routes: [], limits });
    expect((await serve([], unknown)).status).toBe(404);
  });

  it('should reach no more backend servers than the route allows', async () => {
    await fc.assert(
      fc.asyncProperty(scripts, async (script) => {
        const { receivedReplies, serve } = fixture(Repetition.Repeat, 100);
        await serve(script);
        const count = receivedReplies().filter((one) => reached.has(one)).length;
        expect(count).toBeLessThanOrEqual(MAX_BACKEND_SERVERS);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('should use one allowed retry for each further backend server', async () => {
    const { serve, receivedReplies } = fixture(Repetition.Repeat, 4);
    const outcomes: number[] = [];
    for (let count = 0; count < 6; count += 1) {
      await serve([ScriptedReply.RunFailed, ScriptedReply.Answered]);
      outcomes.push(receivedReplies().length);
    }
    expect(outcomes).toEqual([2, 2, 2, 2, 1, 1]);
  });

  it('should refuse a request at once under whose content backend servers end, until its trial', async () => {
    const { askedHosts, blockContent, serve } = fixture(Repetition.Repeat, 100);
    blockContent();
    const { headers, status } = await serve([]);
    expect(status).toBe(503);
    expect(headers).toEqual({ 'retry-after': '10.000' });
    expect(askedHosts).toEqual([]);
  });

  it('should try no other backend server once a request is blocked', async () => {
    for (const reply of [ScriptedReply.Blocked, ScriptedReply.BlockedSince]) {
      const { askedHosts, serve } = fixture(Repetition.Repeat, 100);
      await serve([reply]);
      expect(askedHosts).toHaveLength(1);
    }
  });

  it('should refuse the trial of a blocked request as such when its host is gone', async () => {
    const { askedHosts, blockContent, clock, serve } = fixture(Repetition.Repeat, 100);
    blockContent(['x', 'y', 'z']);
    await clock.advance(FIRST_TRIAL_MS);
    expect((await serve([])).status).toBe(503);
    expect(askedHosts).toEqual([]);
  });

  it('should send the trial of a blocked request to one host once', async () => {
    const { askedHosts, blockContent, clock, serve } = fixture(Repetition.Repeat, 100);
    blockContent();
    await clock.advance(FIRST_TRIAL_MS);
    expect((await serve([ScriptedReply.Lost])).status).toBe(502);
    const [tried] = askedHosts;
    expect(askedHosts).toEqual([tried]);
    expect((await serve([ScriptedReply.Answered])).status).toBe(200);
    expect(askedHosts).toEqual([tried]);
    // The answer has cleared the content.
    await serve([ScriptedReply.Lost, ScriptedReply.Answered]);
    expect(askedHosts).toHaveLength(2);
  });

  describe('when a host stopped responding', () => {
    const lost = replies[ScriptedReply.Lost]();

    it('should deliver its late answer, and end the attempt that began elsewhere', async () => {
      const { askedHosts, cancellations, clock, serve, silentReplies } = fixture(
        Repetition.Repeat,
        4,
      );
      let answerLate: ((reply: GateReply) => void) | undefined;
      const lateReply = new Promise<GateReply>((resolve) => {
        answerLate = resolve;
      });
      silentReplies.push(
        Promise.resolve({ ...lost, lateReply }),
        clock.sleep(NEVER_MS).then(() => lost),
      );
      const served = serve([]);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      expect(askedHosts).toHaveLength(2);
      expect(cancellations[0]?.reason).toBeUndefined();
      answerLate?.(answer(200));
      expect((await served).status).toBe(200);
      expect(cancellations.every(({ reason }) => reason !== undefined)).toBe(true);
    });

    it('should wait for its answer until its deadline when nothing else can be tried', async () => {
      const { askedHosts, clock, serve, silentReplies } = fixture(Repetition.Repeat, 0);
      silentReplies.push(
        Promise.resolve({ ...lost, lateReply: clock.sleep(950).then(() => answer(200)) }),
      );
      const answered = serve([]);
      await clock.advance(1_000);
      expect((await answered).status).toBe(200);
      expect(askedHosts).toHaveLength(1);
      askedHosts.length = 0;
      silentReplies[0] = Promise.resolve({
        ...lost,
        lateReply: clock
          .sleep(1_000)
          .then(() => failure(Outcome.Unknown, FailureCause.DeadlinePassed, false)),
      });
      const failed = serve([]);
      await clock.advance(1_050);
      expect((await failed).status).toBe(504);
    });

    it('should deliver its late answer although the attempt elsewhere failed before', async () => {
      const { askedHosts, clock, serve, silentReplies } = fixture(Repetition.Repeat, 4);
      silentReplies.push(
        Promise.resolve({ ...lost, lateReply: clock.sleep(800).then(() => answer(200)) }),
      );
      const served = serve([ScriptedReply.Lost, ScriptedReply.RunFailed, ScriptedReply.RunFailed]);
      await clock.advance(900);
      expect((await served).status).toBe(200);
      expect(askedHosts).toHaveLength(MAX_BACKEND_SERVERS);
    });

    it('should deliver its late server error if there is no other answer', async () => {
      const { clock, serve, silentReplies } = fixture(Repetition.Repeat, 0);
      silentReplies.push(
        Promise.resolve({ ...lost, lateReply: clock.sleep(200).then(() => answer(500)) }),
      );
      const served = serve([]);
      await clock.advance(250);
      expect((await served).status).toBe(500);
    });

    it('should refuse the request once its gate says that it has not run', async () => {
      const { clock, serve, silentReplies } = fixture(Repetition.Repeat, 0);
      silentReplies.push(
        Promise.resolve({
          ...lost,
          lateReply: clock
            .sleep(200)
            .then(() => failure(Outcome.NotRun, FailureCause.NoSlotInTime)),
        }),
      );
      const served = serve([]);
      await clock.advance(250);
      const { headers, status } = await served;
      expect(status).toBe(503);
      expect(headers['retry-after']).toBeDefined();
    });
  });
});

const CUSTOMER = { name: 'acme', keys: ['k1'], priority: 3, ratePerSecond: 0, burst: 0 };

/** Creates an entry whose configuration has a customer. */
function keyedFixture() {
  const parts = fixture(Repetition.Repeat, 0);
  const { configuration, serve } = parts;
  const { limits, routes } = configuration.current!.configuration;
  configuration.activateIfNewer({ version: 2, routes, limits, customers: [CUSTOMER] });
  const serveWithKey = (authorization: string, host = 'a.example'): Promise<EntryAnswer> =>
    serve([], { headers: { host, authorization } });
  return { ...parts, serveWithKey };
}

describe('entry with customers', () => {
  it('should forward the name and the priority of the customer, and not its key', async () => {
    const { sentRequests, serve } = keyedFixture();
    const headers = { ...REQUEST.headers, authorization: 'Bearer k1', 'x-tenant': 'forged' };
    expect((await serve([], { headers })).status).toBe(200);
    const [sent] = sentRequests;
    expect(sent).toMatchObject({ customer: 'acme', customerPriority: 3, priority: 1 });
    expect(sent?.headers).toMatchObject({ 'x-tenant': 'acme' });
    expect(sent?.headers).not.toHaveProperty('authorization');
  });

  // Guards against refusals that tell a caller without a key how loaded the hosts are.
  it('should answer 401 rather than refuse a request without a valid key', async () => {
    const { blockContent, askedHosts, serveWithKey } = keyedFixture();
    blockContent();
    const { headers, status } = await serveWithKey('Bearer k2');
    expect(status).toBe(401);
    expect(headers).toEqual({ 'www-authenticate': 'Bearer' });
    expect(askedHosts).toEqual([]);
  });

  it('should answer 429 beyond the rate of the customer, and ask no gate', async () => {
    const { askedHosts, quota, serveWithKey } = keyedFixture();
    quota.admission = Err({ retryAfterMs: 250 });
    const { headers, status } = await serveWithKey('Bearer k1');
    expect([status, headers]).toEqual([429, { 'retry-after': '0.250' }]);
    expect(askedHosts).toEqual([]);
  });

  // Guards against a customer that pays for requests which were refused for lack of slots.
  it.each([
    [503, 1, [ScriptedReply.Refused, ScriptedReply.Refused, ScriptedReply.Refused]],
    [200, 0, []],
  ])('should give the permit of a request back that is answered %s: %s', async (...row) => {
    const [status, count, scripted] = row;
    const { quota, serve } = keyedFixture();
    let givenBack = 0;
    quota.admission = Ok({
      giveBack: () => {
        givenBack += 1;
      },
    });
    const headers = { ...REQUEST.headers, authorization: 'Bearer k1' };
    expect((await serve(scripted, { headers })).status).toBe(status);
    expect(givenBack).toBe(count);
  });

  it('should answer 404 where there is no route, with and without a valid key', async () => {
    const { serveWithKey } = keyedFixture();
    expect((await serveWithKey('Bearer k1', 'b.example')).status).toBe(404);
    expect((await serveWithKey('Bearer k2', 'b.example')).status).toBe(404);
  });

  // Guards against a final answer to a key that a version allows which is in force elsewhere.
  it('should answer 503 to an unknown key while a newer version is known', async () => {
    const { serveWithKey, status } = keyedFixture();
    status.noteVersion(3, 'other:2');
    const { headers, status: code } = await serveWithKey('Bearer k2');
    expect(code).toBe(503);
    expect(Number(headers['retry-after'])).toBeLessThan(1);
    expect((await serveWithKey('Bearer k1')).status).toBe(200);
  });
});
