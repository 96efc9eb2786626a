/** Checks what the system promises, from what callers and backend servers saw. */
import { Bounds, probeServiceOf, RouteName } from './platformDocuments.js';
import type { ObservedRun, Publication, SentRequest, SoakRecord } from './record.js';
import { DisturbanceKind, Told } from './record.js';

/** A promise that was not kept. */
export interface Finding {
  readonly promise: string;
  readonly detail: string;
}

const UNPLANNED = [DisturbanceKind.Trouble, DisturbanceKind.Pause];

type Check = (record: SoakRecord) => readonly string[];

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

function runsById({ runs }: SoakRecord): ReadonlyMap<string, readonly ObservedRun[]> {
  return groupBy(runs, ({ requestId }) => requestId);
}

function describeRequest({ detail, host, id, route, sentAtMs, told }: SentRequest): string {
  return `${route} ${id} at host ${host}, sent ${Math.round(sentAtMs)}: ${told} ${detail}`;
}

const checkOnce: Check = (record) => {
  const routes = new Map(record.requests.map(({ id, route }) => [id, route]));
  return [...runsById(record)]
    .filter(([id, runs]) => runs.length > 1 && routes.get(id) !== RouteName.Browse)
    .map(([id, runs]) => `${String(routes.get(id))} ${id} ran ${runs.length} times`);
};

const checkRefusals: Check = (record) => {
  const runs = runsById(record);
  return record.requests
    .filter(
      ({ id, route, told }) => route !== RouteName.Browse && told === Told.NotRun && runs.has(id),
    )
    .map((request) => `ran all the same: ${describeRequest(request)}`);
};

const checkAnswers: Check = (record) => {
  const runs = runsById(record);
  return record.requests
    .filter(
      ({ id, isOwnAnswer, told }) => told === Told.Answered && (!isOwnAnswer || !runs.has(id)),
    )
    .map(describeRequest);
};

const checkOrigins: Check = ({ requests, runs }) => {
  const sent = new Set(requests.map(({ id }) => id));
  return runs
    .filter(({ requestId }) => !sent.has(requestId))
    .map(({ backendServer, requestId }) => `${requestId} at ${backendServer} was never sent`);
};

/** Bounds the time between a node's confirmation and the last request that reaches the server. */
const checkDepartures: Check = (record) =>
  record.departures.flatMap(({ backendServer, confirmedAtMs, host }) =>
    record.runs
      .filter((run) => run.backendServer === backendServer)
      .filter(({ atMs }) => atMs > confirmedAtMs + Bounds.drainMs)
      // Bytes that a disturbed link held up arrive late.
      .filter(({ atMs }) => record.isCalm(host, atMs - Bounds.contactMs, atMs, UNPLANNED))
      .map(({ atMs, requestId }) => {
        const afterMs = Math.round(atMs - confirmedAtMs);
        return `${requestId} reached ${backendServer} ${afterMs} ms after its departure was confirmed`;
      }),
  );

/** A freeze is no excuse: the request and the end of its connection are read together after it. */
const checkAbsentCallers: Check = (record) => {
  const runs = runsById(record);
  return record.requests
    .filter(({ told }) => told === Told.Left || told === Told.Silent)
    .flatMap((request) =>
      (runs.get(request.id) ?? [])
        .filter(({ atMs }) => atMs > request.endedAtMs + Bounds.absentMs)
        .filter(({ atMs, host }) =>
          [request.host, host].every((one) =>
            record.isCalm(one, request.sentAtMs - Bounds.contactMs, atMs, [
              DisturbanceKind.Trouble,
            ]),
          ),
        )
        .filter(({ atMs }) =>
          record.isCalm(request.host, request.sentAtMs, atMs, [DisturbanceKind.LateObservation]),
        )
        .map(({ atMs, backendServer }) => {
          const afterMs = Math.round(atMs - request.endedAtMs);
          return `reached ${backendServer} ${afterMs} ms after its caller left: ${describeRequest(request)}`;
        }),
    );
};

function lastWhere<Item>(items: readonly Item[], holds: (item: Item) => boolean): Item | undefined {
  return items.filter(holds).at(-1);
}

/** Each version must be in force in time, wherever nothing disturbed the node. */
const checkConfiguration: Check = (record) => {
  const runs = runsById(record);
  return record.requests
    .filter(({ route, told }) => route === RouteName.Probe && told === Told.Answered)
    .filter(({ host, sentAtMs, endedAtMs }) => {
      const fromMs = sentAtMs - Bounds.contactMs - Bounds.configurationMs;
      return record.isCalm(host, fromMs, endedAtMs);
    })
    .filter(({ endedAtMs, id, sentAtMs }) => {
      const isInForce = ({ atMs }: Publication): boolean =>
        atMs + Bounds.configurationMs <= sentAtMs;
      const allowed = record.publications
        .filter((one) => one === lastWhere(record.publications, isInForce) || !isInForce(one))
        .filter(({ atMs }) => atMs <= endedAtMs)
        .map(({ version }) => probeServiceOf(version));
      const [run] = runs.get(id) ?? [];
      return run !== undefined && !allowed.includes(run.service);
    })
    .map((request) => `handled by an older version: ${describeRequest(request)}`);
};

/** Once a node has shown a version, no request sent later is handled by an older one. */
const checkRegress: Check = (record) => {
  const runs = runsById(record);
  const probes = record.requests.filter(
    ({ route, told }) => route === RouteName.Probe && told === Told.Answered,
  );
  return [...groupBy(probes, ({ host, life }) => `${host} ${life}`).values()].flatMap((own) =>
    record.publications.flatMap(({ atMs, version }, index) => {
      const endMs = record.publications[index + 1]?.atMs ?? Infinity;
      const within = own.filter(({ sentAtMs, endedAtMs }) => sentAtMs > atMs && endedAtMs < endMs);
      const isNew = ({ id }: SentRequest): boolean =>
        runs.get(id)?.[0]?.service === probeServiceOf(version);
      const shownAtMs = Math.min(
        ...within.filter(isNew).map(({ id }) => runs.get(id)?.[0]?.atMs ?? Infinity),
      );
      return within
        .filter((one) => !isNew(one) && one.sentAtMs > shownAtMs + Bounds.rollbackSlackMs)
        .map((request) => `back from version ${version}: ${describeRequest(request)}`);
    }),
  );
};

/** A node that is stopped as planned, and nothing else, loses no request that it passed on. */
const checkStops: Check = (record) => {
  const runs = runsById(record);
  return record.requests
    .filter(({ id, told }) => told === Told.Broken && runs.has(id))
    .filter(({ endedAtMs, host, sentAtMs }) =>
      record.isCalm(host, sentAtMs - Bounds.contactMs, endedAtMs, UNPLANNED),
    )
    .map(describeRequest);
};

const checkRecovery: Check = (record) =>
  record.requests
    .filter(({ sentAtMs }) => sentAtMs > record.calmFromMs + Bounds.catchUpMs)
    .filter(({ told }) => told !== Told.Answered && told !== Told.Left)
    .map((request) => `still failing after all trouble: ${describeRequest(request)}`);

const checkEnds: Check = ({ oddEnds }) =>
  oddEnds.map(({ detail, host }) => `host ${host}: ${detail}`);

const checks: Readonly<Record<string, Check>> = {
  'runs once at most': checkOnce,
  'a refused request has not run': checkRefusals,
  'an answer is that of its request': checkAnswers,
  'nothing runs that was not sent': checkOrigins,
  'nothing reaches a backend server that left': checkDepartures,
  'nothing runs for a caller that left': checkAbsentCallers,
  'a version is in force in time': checkConfiguration,
  'no older version comes back': checkRegress,
  'a planned stop loses nothing': checkStops,
  'everything is served once trouble is over': checkRecovery,
  'a node runs until it is stopped': checkEnds,
};

/**
 * @param record - what was seen
 * @returns the promises that were not kept
 */
export function findBroken(record: SoakRecord): readonly Finding[] {
  return Object.entries(checks).flatMap(([promise, check]) =>
    check(record).map((detail) => ({ promise, detail })),
  );
}
