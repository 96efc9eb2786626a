/** The deployments that the soak test plays: hosts, kinds of requests and limits of a process. */
import type { Randomness } from 'lentillb/sidecar';
import { Bounds, RouteName } from './platformDocuments.js';
import type { RequestKind, Service } from './platformDocuments.js';

/** The mean and the bound of a length in bytes, or of a time in milliseconds. */
type Spread = readonly [mean: number, max: number];

/** A kind of requests that callers send. */
export interface SentKind extends RequestKind {
  /** The share of this kind, in parts of the sum over all kinds. */
  readonly share: number;
  /** What requests carry; by default, an identity alone, and backend servers draw the times. */
  readonly sizes?: Readonly<Record<'bodyBytes' | 'answerBytes' | 'runMs', Spread>>;
}

/** A deployment. */
export interface Profile {
  readonly hosts: number;
  readonly zones: number;
  readonly services: readonly Service[];
  readonly slots: number;
  /** The limit of the resident memory of a process, in megabytes. */
  readonly memoryLimitMb: number;
  /** The time between two requests of one caller, in milliseconds. */
  readonly requestIntervalMs: number;
  readonly connectionsPerCaller: number;
  readonly kinds: readonly SentKind[];
  /** The number of routes that nobody sends requests on. */
  readonly idleRoutes: number;
  readonly limits: { readonly headerBytes: number; readonly bodyBytes: number };
  /** Whether seeds draw the faults of starts and of hostile senders too; nodes send at the usual cost. */
  readonly hasStartFaults: boolean;
}

const TIMEOUT_MS = Bounds.routeTimeoutMs;

const probe: SentKind = { route: RouteName.Probe, timeoutMs: TIMEOUT_MS, share: 1 };

/** The deployments by the name that selects them. */
export const profiles = {
  standard: {
    hosts: 6,
    zones: 3,
    services: ['letters', 'desk'],
    slots: 8,
    memoryLimitMb: Infinity,
    requestIntervalMs: 40,
    connectionsPerCaller: 6,
    kinds: [
      { route: RouteName.Browse, service: 'letters', timeoutMs: TIMEOUT_MS, share: 1 },
      { route: RouteName.Lodge, service: 'desk', timeoutMs: TIMEOUT_MS, share: 1 },
      probe,
    ],
    idleRoutes: 0,
    limits: { headerBytes: 16_384, bodyBytes: 65_536 },
    hasStartFaults: false,
  },
  /** Hosts with little memory, long runs, bodies of all lengths, and many routes. */
  venues: {
    hosts: 12,
    zones: 4,
    services: ['letters', 'desk', 'office'],
    slots: 18,
    memoryLimitMb: 200,
    requestIntervalMs: 80,
    connectionsPerCaller: 24,
    kinds: [
      {
        route: RouteName.Browse,
        service: 'letters',
        timeoutMs: 1_500,
        share: 44,
        sizes: { bodyBytes: [0, 0], answerBytes: [5_000, 30_000], runMs: [160, 1_200] },
      },
      {
        route: RouteName.Lodge,
        service: 'desk',
        timeoutMs: 2_000,
        share: 17,
        sizes: { bodyBytes: [300, 1_800], answerBytes: [400, 2_400], runMs: [210, 1_600] },
      },
      {
        route: RouteName.Book,
        service: 'office',
        timeoutMs: 1_000,
        share: 17,
        sizes: { bodyBytes: [4_000, 24_000], answerBytes: [1_500, 9_000], runMs: [110, 840] },
      },
      { ...probe, share: 8 },
    ],
    idleRoutes: 300,
    limits: { headerBytes: 65_536, bodyBytes: 1_048_576 },
    hasStartFaults: true,
  },
} as const satisfies Record<string, Profile>;

/**
 * @param spread - the mean and the bound
 * @param randomness - the seeded source of random numbers
 * @returns an integer of an exponential distribution, within the bound
 */
export function drawSpread([mean, max]: Spread, randomness: Randomness): number {
  return Math.min(max, Math.round(-mean * Math.log(1 - randomness.fraction())));
}
