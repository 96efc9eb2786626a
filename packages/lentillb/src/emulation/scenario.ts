/** Defines the scenario of an experiment: services, zones, kinds of requests and disturbances. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import * as z from 'zod/mini';

const positive = z.number().check(z.positive());
const share = z.number().check(z.minimum(0), z.maximum(1));

/** A number that holds for each zone, or one number for each of them. */
const perZone = <Value extends z.ZodMiniType<number>>(value: Value) =>
  z.union([value, z.array(value).check(z.minLength(1))]);

const serviceSchema = z.strictObject({
  /** The number of requests that a backend server runs concurrently. */
  slots: z.int().check(z.positive()),
  /** The number of backend servers in each zone. */
  serversPerZone: perZone(z.int().check(z.positive())),
  /** The speeds of the backend servers, assigned to them in turn. */
  speeds: z.array(positive).check(z.minLength(1)),
});

const requestKindSchema = z.strictObject({
  service: z.string(),
  /** The requests per second in each zone; 0 for calls made only inside runs. */
  perSecond: perZone(z.number().check(z.minimum(0))),
  /** The mean work in milliseconds, at a speed of 1. */
  workMs: positive,
  /** The standard deviation of the logarithm of the work. */
  workLogDeviation: z.number().check(z.minimum(0)),
  /** The share of requests whose work is longer by a factor, beside the mean above. */
  workTail: z.optional(z.strictObject({ share, factor: positive })),
  targetMs: positive,
  deadlineMs: positive,
  timeoutMs: positive,
  priority: z.int(),
  repeatable: z.boolean(),
  /** How often a caller tries again after a refusal. */
  retries: z.int().check(z.minimum(0)),
  /** The kinds of calls that a run makes one after the other, each with the share of runs that make it. */
  calls: z.optional(z.array(z.strictObject({ kind: z.string(), share }))),
});

const disturbanceSchema = z.strictObject({
  atMs: z.number(),
  forMs: positive,
  /** The factor on the rate of all requests. */
  load: z.optional(positive),
  /** The factor on the work at the given share of the backend servers of a service. */
  slow: z.optional(z.strictObject({ service: z.string(), share, factor: positive })),
  /** The share of requests that the given share of the backend servers of a service fails at once. */
  failing: z.optional(z.strictObject({ service: z.string(), share, failures: share })),
  /** The request limit that the given share of the backend servers of a service states. */
  limited: z.optional(
    z.strictObject({ service: z.string(), share, perSecond: z.number().check(z.minimum(0)) }),
  ),
});

const scenarioSchema = z.strictObject({
  zones: z.int().check(z.positive()),
  durationMs: positive,
  /** The time at the start whose requests are not counted, in milliseconds. */
  warmUpMs: z.number(),
  /** The time one way between two hosts, in milliseconds. */
  linkMs: z.number(),
  /** The mean age of the loads that gates report to the nodes of their zone, in milliseconds. */
  reportAgeMs: z.optional(positive),
  /** The share by which the request rate of each zone rises and falls, and when: in periods. */
  waves: z.optional(
    z.strictObject({ swing: share, periodMs: positive, phases: z.array(z.number()) }),
  ),
  services: z.record(z.string(), serviceSchema),
  requests: z.record(z.string(), requestKindSchema),
  disturbances: z.optional(z.array(disturbanceSchema)),
});

/** One kind of request. */
export type RequestKind = z.infer<typeof requestKindSchema>;

/** A temporary change of the load or of backend servers. */
export type Disturbance = z.infer<typeof disturbanceSchema>;

/** What an experiment plays. */
export type Scenario = z.infer<typeof scenarioSchema>;

/**
 * @param values - a number that holds for each zone, or one number for each of them
 * @param zone - the index of a zone
 * @returns the number for the zone; 0 if it has none
 */
export function valueOfZone(values: number | readonly number[], zone: number): number {
  return typeof values === 'number' ? values : (values[zone] ?? 0);
}

function findUnknownName({ disturbances = [], requests, services }: Scenario): string | undefined {
  const usedServices = [
    ...Object.entries(requests).map(([kind, { service }]) => [`requests.${kind}`, service]),
    ...disturbances.map(({ slow }) => ['disturbances.slow', slow?.service]),
    ...disturbances.map(({ failing }) => ['disturbances.failing', failing?.service]),
    ...disturbances.map(({ limited }) => ['disturbances.limited', limited?.service]),
  ];
  const unknownService = usedServices.find(([, name]) => name !== undefined && !services[name]);
  if (unknownService !== undefined) {
    return `${unknownService[0]}: unknown service "${unknownService[1]}"; declared services: ${Object.keys(services).join(', ')}`;
  }
  const unknownCall = Object.entries(requests)
    .flatMap(([kind, { calls = [] }]) => calls.map((call) => [kind, call.kind] as const))
    .find(([, called]) => requests[called] === undefined);
  return unknownCall === undefined
    ? undefined
    : `requests.${unknownCall[0]}.calls: unknown kind "${unknownCall[1]}"; declared kinds: ${Object.keys(requests).join(', ')}`;
}

/**
 * Checks a scenario.
 *
 * @param value - a decoded JSON value
 * @returns the scenario, or why it is invalid
 */
export function checkScenario(value: unknown): Result<Scenario, string> {
  const checked = scenarioSchema.safeParse(value);
  if (!checked.success) {
    return Err(z.prettifyError(checked.error));
  }
  const unknownName = findUnknownName(checked.data);
  return unknownName === undefined ? Ok(checked.data) : Err(unknownName);
}
