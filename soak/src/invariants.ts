/** Checks the invariants of the system against the observations of callers and backend servers. */
import { Bounds, probeServiceOf, RouteName } from './platformDocuments.js';
import type {
  Execution,
  Publication,
  SentRequest,
  SoakRecord,
  UnexpectedExit,
} from './soakRecord.js';
import { DisturbanceKind, ExecutionEnd, RequestOutcome } from './soakRecord.js';

/** A violation of an invariant. */
export interface Finding {
  readonly invariant: string;
  readonly detail: string;
}

const MS_PER_SECOND = 1_000;

/** The unplanned disturbances of processes and connections. */
const UNPLANNED_KINDS = [DisturbanceKind.Failure, DisturbanceKind.Freeze];

/** A function that returns a description of each violation of one invariant. */
type Check = (
  record: SoakRecord,
  /** The executions by the identity of their request. */
  executions: ReadonlyMap<string, readonly Execution[]>,
) => readonly string[];

function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key) ?? [];
    groups.set(key, group);
    group.push(item);
  });
  return groups;
}

function describeRequest({ detail, host, id, route, sentAtMs, outcome }: SentRequest): string {
  return `${route} ${id} at host ${host}, sent ${Math.round(sentAtMs)}: ${outcome} ${detail}`;
}

const checkSingleRuns: Check = (record, executionsById) => {
  const routes = new Map(record.requests.map(({ id, route }) => [id, route]));
  return [...executionsById]
    .filter(([id, executions]) => executions.length > 1 && routes.get(id) !== RouteName.Browse)
    .map(([id, executions]) => `${String(routes.get(id))} ${id} ran ${executions.length} times`);
};

const checkRefusedRequests: Check = (record, executions) =>
  record.requests
    .filter(
      ({ id, route, outcome }) =>
        route !== RouteName.Browse && outcome === RequestOutcome.NotRun && executions.has(id),
    )
    .map((request) => `was refused but ran: ${describeRequest(request)}`);

const checkResponses: Check = (record, executions) =>
  record.requests
    .filter(
      ({ id, isMatchingResponse, outcome }) =>
        outcome === RequestOutcome.Answered && (!isMatchingResponse || !executions.has(id)),
    )
    .map(describeRequest);

const checkUnsentRequests: Check = ({ requests, executions }) => {
  const sent = new Set(requests.map(({ id }) => id));
  return executions
    .filter(({ requestId }) => !sent.has(requestId))
    .map(({ backendServerId, requestId }) => `${requestId} at ${backendServerId} was never sent`);
};

/** Finds requests that reach a backend server too long after its node confirmed the departure. */
const checkDepartures: Check = (record) =>
  record.departures.flatMap(({ backendServerId, confirmedAtMs, host }) =>
    record.executions
      .filter((execution) => execution.backendServerId === backendServerId)
      .filter(({ atMs }) => atMs > confirmedAtMs + Bounds.drainMs)
      // Skips requests that a faulty connection may have delivered late.
      .filter(({ atMs }) =>
        record.isUndisturbed(host, atMs - Bounds.undisturbedMs, atMs, UNPLANNED_KINDS),
      )
      .map(({ atMs, requestId }) => {
        const afterMs = Math.round(atMs - confirmedAtMs);
        return `${requestId} reached ${backendServerId} ${afterMs} ms after its departure was confirmed`;
      }),
  );

/**
 * Finds requests that run too long after their caller aborted them or timed out. A frozen node is
 * not exempt: after the freeze it reads the request and the close of its connection together.
 */
const checkAbortedRequests: Check = (record, executions) =>
  record.requests
    .filter(
      ({ outcome }) => outcome === RequestOutcome.Aborted || outcome === RequestOutcome.TimedOut,
    )
    .flatMap((request) =>
      (executions.get(request.id) ?? [])
        .filter(({ atMs }) => atMs > request.endedAtMs + Bounds.callerLeftMs)
        .filter(({ atMs, host }) =>
          [request.host, host].every((hostIndex) =>
            record.isUndisturbed(hostIndex, request.sentAtMs - Bounds.undisturbedMs, atMs, [
              DisturbanceKind.Failure,
            ]),
          ),
        )
        .filter(({ atMs }) =>
          record.isUndisturbed(request.host, request.sentAtMs, atMs, [
            DisturbanceKind.ObserverDelay,
          ]),
        )
        .map(({ atMs, backendServerId }) => {
          const afterMs = Math.round(atMs - request.endedAtMs);
          return `reached ${backendServerId} ${afterMs} ms after its caller left: ${describeRequest(request)}`;
        }),
    );

/** Finds backend servers that got more requests than their stated limit allows. */
const checkLimits: Check = (record) =>
  record.limitPeriods.flatMap(({ backendServerId, fromMs, host, perSecond, untilMs }) => {
    const arrivals = record.executions.filter(
      (execution) =>
        execution.backendServerId === backendServerId &&
        execution.atMs >= fromMs + Bounds.statementMs &&
        execution.atMs <= untilMs,
    );
    const windowSeconds = Bounds.limitWindowMs / MS_PER_SECOND;
    const allowed = Bounds.limitFactor * perSecond * windowSeconds + Bounds.limitExtra;
    return (
      arrivals
        .map(({ atMs }) => ({
          atMs,
          count: arrivals.filter(
            (other) => other.atMs >= atMs && other.atMs < atMs + Bounds.limitWindowMs,
          ).length,
        }))
        .filter(({ count }) => count > allowed)
        // Skips requests that a faulty connection or a late observer may have bunched.
        .filter(({ atMs }) =>
          record.isUndisturbed(host, atMs - Bounds.undisturbedMs, atMs + Bounds.limitWindowMs, [
            ...UNPLANNED_KINDS,
            DisturbanceKind.ObserverDelay,
          ]),
        )
        .slice(0, 1)
        .map(
          ({ count }) =>
            `${backendServerId} got ${count} requests in ${Bounds.limitWindowMs} ms at a limit of ${perSecond}`,
        )
    );
  });

/** Finds contents that reach backend servers after they have ended several of them. */
const checkServerEnds: Check = ({ serverEnds }) =>
  [...groupBy(serverEnds, ({ content }) => content)].flatMap(([content, ends]) => {
    const blockedFromMs = (ends[Bounds.blockingEnds - 1]?.atMs ?? Infinity) + Bounds.contactMs;
    const later = ends.filter(({ atMs }) => atMs > blockedFromMs).length;
    return later > Bounds.laterEnds
      ? [
          `${content} ended ${later} backend servers after all hosts could know, ${ends.length} in all`,
        ]
      : [];
  });

function findLast<Item>(
  items: readonly Item[],
  matches: (item: Item) => boolean,
): Item | undefined {
  return items.filter(matches).at(-1);
}

/** Finds requests that undisturbed nodes handled by a version that should have been replaced. */
const checkPropagation: Check = (record, executions) =>
  record.requests
    .filter(
      ({ route, outcome }) => route === RouteName.Probe && outcome === RequestOutcome.Answered,
    )
    .filter(({ host, sentAtMs, endedAtMs }) => {
      const undisturbedSinceMs = sentAtMs - Bounds.undisturbedMs - Bounds.propagationMs;
      return record.isUndisturbed(host, undisturbedSinceMs, endedAtMs);
    })
    .filter(({ endedAtMs, id, sentAtMs }) => {
      const isInForce = ({ atMs }: Publication): boolean => atMs + Bounds.propagationMs <= sentAtMs;
      const allowed = record.publications
        .filter(
          (publication) =>
            publication === findLast(record.publications, isInForce) || !isInForce(publication),
        )
        .filter(({ atMs }) => atMs <= endedAtMs)
        .map(({ version }) => probeServiceOf(version));
      const [execution] = executions.get(id) ?? [];
      return execution !== undefined && !allowed.includes(execution.service);
    })
    .map((request) => `handled by an older version: ${describeRequest(request)}`);

/** Finds requests that a node process handled by an older version after it had used a newer one. */
const checkVersionOrder: Check = (record, executions) => {
  const probes = record.requests.filter(
    ({ route, outcome }) => route === RouteName.Probe && outcome === RequestOutcome.Answered,
  );
  return [
    ...groupBy(probes, ({ host, processNumber }) => `${host} ${processNumber}`).values(),
  ].flatMap((processProbes) =>
    record.publications.flatMap(({ atMs, version }, index) => {
      const endMs = record.publications[index + 1]?.atMs ?? Infinity;
      const intervalProbes = processProbes.filter(
        ({ sentAtMs, endedAtMs }) => sentAtMs > atMs && endedAtMs < endMs,
      );
      const ranOnVersion = ({ id }: SentRequest): boolean =>
        executions.get(id)?.[0]?.service === probeServiceOf(version);
      const firstSeenAtMs = Math.min(
        ...intervalProbes
          .filter(ranOnVersion)
          .map(({ id }) => executions.get(id)?.[0]?.atMs ?? Infinity),
      );
      return intervalProbes
        .filter(
          (probe) => !ranOnVersion(probe) && probe.sentAtMs > firstSeenAtMs + Bounds.oldVersionMs,
        )
        .map(
          (request) =>
            `handled by a version older than ${version}, which was in use: ${describeRequest(request)}`,
        );
    }),
  );
};

/**
 * Finds requests that ran but lost their connection although no failure or freeze affected their
 * node. A planned stop must not lose any.
 */
const checkPlannedStops: Check = (record, executions) =>
  record.requests
    .filter(({ id, outcome }) => outcome === RequestOutcome.ConnectionLost && executions.has(id))
    .filter(({ endedAtMs, host, sentAtMs }) =>
      record.isUndisturbed(host, sentAtMs - Bounds.undisturbedMs, endedAtMs, UNPLANNED_KINDS),
    )
    .map(describeRequest);

/** Whether a planned stop allows that a run was cut: it was sent in time and lasted to the end. */
function isCutByEndOfStop(
  record: SoakRecord,
  request: SentRequest,
  executions: readonly Execution[],
): boolean {
  const hosts = [request.host, ...executions.map(({ host }) => host)];
  return record.nodeStops.some(
    ({ atMs, host }) =>
      hosts.includes(host) &&
      request.sentAtMs <= atMs + Bounds.stopSentMs &&
      request.endedAtMs >= atMs + Bounds.stopCutMs &&
      request.endedAtMs <= atMs + Bounds.graceMs,
  );
}

/** Whether a node answered a request in place of its backend server; other checks cover the rest. */
function isEndedByNode({ outcome, route }: SentRequest): boolean {
  return (
    outcome === RequestOutcome.Failed ||
    (outcome === RequestOutcome.NotRun && route === RouteName.Browse)
  );
}

function describeRun({ sentAtMs }: SentRequest, { atMs, backendServerId, end }: Execution): string {
  return `at ${backendServerId} from ${Math.round(atMs - sentAtMs)} ms, ${end ?? 'at work'}`;
}

/** Finds requests that a node ended before their deadline, although a backend server runs or ran them. */
const checkEndedRuns: Check = (record, executions) =>
  record.requests
    .filter(isEndedByNode)
    .filter(
      ({ deadlineMs, endedAtMs, sentAtMs }) =>
        endedAtMs < sentAtMs + deadlineMs - Bounds.deadlineMarginMs,
    )
    .map((request) => ({ request, runs: executions.get(request.id) ?? [] }))
    .filter(({ runs }) => runs.some(({ end }) => end !== ExecutionEnd.ServerEnded))
    .filter(({ request: { endedAtMs, host, sentAtMs }, runs }) =>
      [host, ...runs.map((run) => run.host)].every((index) =>
        record.isUndisturbed(index, sentAtMs - Bounds.undisturbedMs, endedAtMs, UNPLANNED_KINDS),
      ),
    )
    .filter(({ request, runs }) => !isCutByEndOfStop(record, request, runs))
    .map(({ request, runs }) => {
      const lastedMs = Math.round(request.endedAtMs - request.sentAtMs);
      const ends = runs.map((run) => describeRun(request, run)).join('; ');
      return `ended after ${lastedMs} ms: ${describeRequest(request)}; ${ends}`;
    });

/** Finds requests that ran and got no answer, though their deadline had passed for a while. */
const checkUnansweredRequests: Check = (record, executions) =>
  record.requests
    .filter(({ outcome }) => outcome === RequestOutcome.TimedOut)
    .filter(({ deadlineMs, endedAtMs, id }) =>
      // A request may have waited in the caller for a connection, before its deadline began.
      (executions.get(id) ?? []).some(
        ({ atMs }) => atMs < endedAtMs - deadlineMs - Bounds.deadlineMarginMs,
      ),
    )
    .filter(({ endedAtMs, host, sentAtMs }) =>
      record.isUndisturbed(host, sentAtMs - Bounds.undisturbedMs, endedAtMs, [
        ...UNPLANNED_KINDS,
        DisturbanceKind.ObserverDelay,
      ]),
    )
    .map(describeRequest);

/**
 * Whether the soak test itself was blocked for a considerable share of the time that a request had. All
 * relays, callers and backend servers are held then.
 */
function wasHeldByObserver(record: SoakRecord, request: SentRequest): boolean {
  const untilMs = Math.min(request.endedAtMs, request.sentAtMs + request.deadlineMs);
  const heldMs = record.disturbances
    .filter(({ kind }) => kind === DisturbanceKind.ObserverDelay)
    .map((delay) =>
      Math.max(0, Math.min(delay.untilMs, untilMs) - Math.max(delay.fromMs, request.sentAtMs)),
    )
    .reduce((sum, overlapMs) => sum + overlapMs, 0);
  return heldMs >= request.deadlineMs * Bounds.heldShare;
}

/** Finds requests that fail although the time to recover from the last fault is over. */
const checkRecovery: Check = (record) =>
  record.requests
    .filter(({ sentAtMs }) => sentAtMs > record.faultsEndedAtMs + Bounds.recoveryMs)
    .filter(
      ({ outcome }) => outcome !== RequestOutcome.Answered && outcome !== RequestOutcome.Aborted,
    )
    .filter((request) => !wasHeldByObserver(record, request))
    .map((request) => `failed after the recovery period: ${describeRequest(request)}`);

function describeExit({ detail, host }: UnexpectedExit): string {
  return `host ${host}: ${detail}`;
}

/** The checks by invariant, as printed; only the first violations are, so ends come first. */
const checks: Readonly<Record<string, Check>> = {
  'a node runs until it is stopped': ({ unexpectedExits }) => unexpectedExits.map(describeExit),
  'a node stays within its memory': ({ memoryExcesses }) => memoryExcesses.map(describeExit),
  'runs once at most': checkSingleRuns,
  'a refused request has not run': checkRefusedRequests,
  'an answer is that of its request': checkResponses,
  'nothing runs that was not sent': checkUnsentRequests,
  'nothing reaches a backend server that left': checkDepartures,
  'nothing runs for a caller that left': checkAbortedRequests,
  'a stated limit is kept': checkLimits,
  'a request ends few backend servers': checkServerEnds,
  'a version is in force in time': checkPropagation,
  'no older version comes back': checkVersionOrder,
  'a planned stop loses nothing': checkPlannedStops,
  'no node ends a request that runs': checkEndedRuns,
  'every request gets an answer': checkUnansweredRequests,
  'everything is served once trouble is over': checkRecovery,
};

/**
 * Checks all invariants.
 *
 * @param record - the observations of one soak run
 * @returns the violations, in the order of the checks
 */
export function findViolations(record: SoakRecord): readonly Finding[] {
  const executions = groupBy(record.executions, ({ requestId }) => requestId);
  return Object.entries(checks).flatMap(([invariant, check]) =>
    check(record, executions).map((detail) => ({ invariant, detail })),
  );
}
