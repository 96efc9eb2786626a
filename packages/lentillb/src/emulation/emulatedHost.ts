/** Emulates a host: the entry and the gate of its node, with the real decisions, and its backend server. */
import { CallerPresence } from '../calls/callerPresence.js';
import { SmoothWeightedRoundRobin } from '../configuration/smoothWeightedRoundRobin.js';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import { ConfigurationStatus } from '../configuration/configurationStatus.js';
import type { Directory, GateEndpoint } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import { DecisionLog } from '../observability/decisionLog.js';
import { MetricsRegistry } from '../observability/metricsRegistry.js';
import { Entry } from '../serving/entry.js';
import { UNLIMITED } from '../allotments/index.js';
import { LinkQueue } from '../transfers/linkQueue.js';
import { Gate } from '../serving/gate.js';
import { GateObservations } from '../placing/gateObservations.js';
import { GateSelector } from '../placing/gateSelector.js';
import { LocalBackendServer } from '../serving/localBackendServer.js';
import type { ForwardedRequest, GateReply } from '../serving/messages.js';
import { RetryAllowance } from '../serving/retryAllowance.js';
import { SlotQueue } from '../admission/slotQueue.js';
import { StatedLimit } from '../admission/statedLimit.js';
import { SuspectGuard } from '../serving/suspectGuard.js';
import { SuspectRequests } from '../serving/suspectRequests.js';
import type { EmulatedBackendServer } from './emulatedBackendServer.js';

const DEFAULT_SERVICE_TIME_MS = 80;
/** Emulated requests are never read late. */
const READ_INPUT = {
  isCurrent: () => true,
  waitUntilCurrent: () => Promise.resolve(),
  waitUntilRead: () => Promise.resolve(),
};
const RETRY_TERMS = { ratio: 0.2, extra: 60, windowMs: 10_000 };

/** The names of the headers between the emulated callers and nodes. */
export const emulatedHeaderNames = {
  requestId: 'request-id',
  deadlineMs: 'deadline-ms',
  seal: 'seal',
  expectedInstance: 'expected-instance',
  notRun: 'not-run',
  callerService: 'caller-service',
  customer: 'customer',
  requestLimit: 'request-limit',
  leaving: 'leaving',
} as const;

/** What an entry needs to choose a gate. */
export type Selector = Pick<GateSelector, 'choose' | 'countCandidates'>;

/** The services that the choice of gates depends on. */
export type SelectorServices = ConstructorParameters<typeof GateSelector>[0];

/** The services that an emulated host depends on. */
export interface EmulatedHostServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly configuration: ConfigurationHolder;
  readonly directory: Directory;
  /** Carries a request to the gate of another host and its reply back. */
  readonly forward: (host: string, request: ForwardedRequest) => Promise<GateReply>;
}

/** The properties of an emulated host. */
export interface EmulatedHostOptions {
  readonly host: string;
  readonly zone: string;
  readonly service: string;
  readonly slots: number;
  readonly createSelector?:
    ((services: SelectorServices, host: EmulatedHostOptions) => Selector) | undefined;
}

/** A node with its backend server. */
export class EmulatedHost {
  readonly entry: Entry;

  readonly gate: Gate;

  readonly observations: GateObservations;

  readonly slots: SlotQueue;

  constructor(
    services: EmulatedHostServices,
    readonly options: EmulatedHostOptions,
    readonly backendServer: EmulatedBackendServer,
  ) {
    const { clock, configuration, directory, forward, randomness } = services;
    const { host, service, slots: slotCount } = options;
    const log = new DecisionLog(clock, { info: () => undefined, warn: () => undefined });
    const metrics = new MetricsRegistry();
    const local = new LocalBackendServer(clock, () => undefined);
    local.finishRestoring();
    local.accept({
      id: `i-${host}`,
      service,
      address: host,
      slots: slotCount,
      draining: false,
      warmupLeftMs: 0,
      sequence: 1,
      startedAtMs: 1,
    });
    const suspects = new SuspectRequests(clock);
    const suspectGuard = new SuspectGuard(
      { clock, suspects, log, report: () => undefined, onBlockChange: () => undefined },
      host,
    );
    const statedLimit = new StatedLimit(clock, log);
    this.slots = new SlotQueue(clock, () => false, statedLimit);
    this.slots.resize(slotCount);
    this.gate = new Gate({
      clock,
      transfers: new LinkQueue({ clock, log, metrics }, undefined),
      presence: new CallerPresence({ clock, input: READ_INPUT }),
      slots: this.slots,
      statedLimit,
      listenProbe: { hasEnded: () => Promise.resolve(false) },
      suspectGuard,
      backendServer: local,
      client: {
        send: async (request) => {
          const sentAtMs = clock.monotonicMs();
          const answer = await backendServer.send(request);
          if (answer.isOk()) {
            statedLimit.recordAnswer(backendServer.statement, sentAtMs);
          }
          return answer;
        },
      },
      log,
      metrics,
    });
    this.observations = new GateObservations(clock, DEFAULT_SERVICE_TIME_MS);
    const selectorServices = {
      randomness,
      observations: this.observations,
      isSilent: () => false,
      metrics,
      gate: this.gate,
    };
    const gateSelector =
      options.createSelector?.(selectorServices, options) ??
      new GateSelector(selectorServices, options);
    this.entry = new Entry(
      {
        clock,
        quotas: { admit: () => UNLIMITED },
        randomness,
        configuration,
        status: new ConfigurationStatus(clock, configuration),
        rotation: new SmoothWeightedRoundRobin(randomness),
        directory,
        observations: this.observations,
        gateSelector,
        gateForwarder: {
          call: (endpoint: GateEndpoint, request: ForwardedRequest) =>
            endpoint.host === host ? this.gate.serve(request) : forward(endpoint.host, request),
        },
        allowance: new RetryAllowance(clock, RETRY_TERMS, () => directory.announcements.length),
        suspectGuard,
        log,
        metrics,
      },
      { names: emulatedHeaderNames, callerService: service },
    );
  }
}
