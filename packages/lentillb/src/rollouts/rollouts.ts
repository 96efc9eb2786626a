/**
 * Carries out rollouts of service versions: reads orders, shares statements with the other nodes, reports
 * what the own gate sees, and controls the rollouts for which this node is the controller.
 */
import type { Result } from 'ts-results-es';
import type { AnnouncedBackendServer, Announcement } from '../directory/announcement.js';
import type { Directory, GateEndpoint } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { KeyedRecord, StatusStore } from '../store/keyedStore.js';
import { sample } from '../utils/sample.js';
import { rankControllers } from './controllerRanking.js';
import type { RolloutOrder, RolloutStatement } from './rollout.js';
import { isFinal, RolloutStage, stageNames } from './rollout.js';
import { RolloutController } from './rolloutController.js';
import type { RolloutServers } from './rolloutController.js';
import type { RolloutMessage } from './rolloutMessage.js';
import {
  decodeRolloutMessage,
  encodeRolloutMessage,
  RolloutMessageKind,
} from './rolloutMessage.js';
import type { HeldStatement } from './rolloutStatements.js';
import { RolloutStatements, StatementEffect } from './rolloutStatements.js';
import type { GuardedGate, GuardedServer } from './versionGate.js';
import { VersionGate } from './versionGate.js';
import { VersionHistory } from './versionHistory.js';
import type { RoutedRequest } from './versionRules.js';
import { VersionRules } from './versionRules.js';

/** The interval of decisions, and of reports during a shift, in milliseconds. */
const TICK_MS = 250;
/** The number of ticks between reports at other times. */
const TICKS_PER_REPORT = 2;
/** The interval of statements while the stage stays the same, in milliseconds. */
const BEAT_MS = 1_000;
/** The time for which the controller repeats the last stage, in milliseconds. */
const FINAL_BEATS_MS = 10_000;
/** The time without word of a controller after which the next one takes over, in milliseconds for each rank. */
const TAKEOVER_MS = 1_500;
/** The time after which a new stage is sent again, in milliseconds; a datagram may be lost. */
const REPEAT_DELAY_MS = 150;
/** The number of nodes of the own zone that get a new stage from each node that learns of it. */
const NEWS_RECEIVERS = 6;
/** The number of nodes of the own zone to which a node passes on that the controller is at work. */
const BEAT_RECEIVERS = 3;
/** The number of nodes of each other zone that get the statements of the controller. */
const OTHER_ZONE_RECEIVERS = 3;
/** The number of nodes, first by rank, that get reports of gates beside the controller. */
const EVIDENCE_RECEIVERS = 4;
/** Those nodes get one of this many reports, so that a gate stays within 2 KB/s. */
const REPORTS_PER_COPY = 4;
/** How often a node asks for statements that sees several versions of a service without a rollout. */
const MAX_QUESTIONS = 3;
const QUESTION_RECEIVERS = 2;

/** How rollout orders are read. */
export interface RolloutTerms {
  /** The start of the keys of rollout orders in the operator's topic; the name of the service follows. */
  readonly keyPrefix: string;
  /** Decodes a rollout order, or returns why it is invalid. */
  readonly decodeOrder: (bytes: Uint8Array) => Result<Omit<RolloutOrder, 'offset'>, string>;
}

/** The services that rollouts depend on. */
export interface RolloutsServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: DecisionLog;
  readonly metrics: MetricsRegistry;
  readonly directory: Directory;
  /** The store of the status records; without it, this node controls no rollout. */
  readonly statusStore?: StatusStore;
  readonly backendServer: GuardedServer;
  readonly send: (peerAddress: string, bytes: Buffer) => void;
  readonly isSilent: (host: string) => boolean;
  /** Returns whether the backend server of a gate is leaving, by this node's own observations. */
  readonly isLeaving: (endpoint: GateEndpoint) => boolean;
  /** Called when a rollout has introduced a version, which announcements then state. */
  readonly onIntroduced: () => void;
  /** Called with an order that is invalid. */
  readonly reject: (source: string, reason: string) => void;
}

/** The rollouts of all services, as this node takes part in them. */
export class Rollouts {
  private readonly history: VersionHistory;

  private readonly statements: RolloutStatements;

  private readonly rules: VersionRules;

  private gate: VersionGate | undefined;

  private readonly controllers = new Map<string, RolloutController>();

  /** When this node last sent its own statement, by service, in milliseconds of the monotonic clock. */
  private readonly sentAtMs = new Map<string, number>();

  /** When a controller of a higher rank was last heard of, by service. */
  private readonly ledAtMs = new Map<string, number>();

  /** The nodes that may control the rollout of each service, for one state of the directory. */
  private ranking = { digest: 0, byService: new Map<string, readonly Announcement[]>() };

  /** The version that was logged last as the one that serves, by service with several. */
  private readonly loggedIncumbents = new Map<string, string>();

  private hasReadOrders = false;

  private questions = 0;

  private ticks = 0;

  private reports = 0;

  private stopped = false;

  /**
   * @param services - the services that rollouts depend on
   * @param location - the host and the zone of this node
   * @param terms - how rollout orders are read; undefined if there are none, and any version may then
   *   get requests
   */
  constructor(
    private readonly services: RolloutsServices,
    private readonly location: { readonly host: string; readonly zone: string },
    private readonly terms: RolloutTerms | undefined,
  ) {
    const { clock, directory, isLeaving, isSilent, metrics, randomness } = services;
    this.history = new VersionHistory(directory);
    this.statements = new RolloutStatements(clock);
    this.rules = new VersionRules({
      clock,
      randomness,
      history: this.history,
      statements: this.statements,
      isUsable: (endpoint) => !isSilent(endpoint.host) && !isLeaving(endpoint),
    });
    metrics.gauge('rollouts_open', () => this.open.length);
  }

  /** Starts to take part in rollouts. */
  start(): void {
    if (this.terms !== undefined) {
      this.scheduleTick();
    }
  }

  /** Stops taking part in rollouts. */
  stop(): void {
    this.stopped = true;
  }

  /** @see VersionRules.filter */
  readonly filter = (
    routed: RoutedRequest,
    endpoints: readonly GateEndpoint[],
  ): readonly GateEndpoint[] =>
    this.terms === undefined ? endpoints : this.rules.filter(routed, endpoints);

  /**
   * @param gate - the gate of this host
   * @returns the same gate, which runs only what the version of its backend server may run
   */
  guard(gate: GuardedGate): GuardedGate {
    if (this.terms === undefined) {
      return gate;
    }
    const { backendServer, clock, log, metrics } = this.services;
    const { rules, statements } = this;
    const onStopped = (): void => this.reportEvidence();
    this.gate = new VersionGate(
      { clock, gate, backendServer, rules, statements, log, metrics, onStopped },
      this.location.host,
    );
    return this.gate;
  }

  /**
   * @param announced - the backend server of this host
   * @returns what to announce of it
   */
  describe(announced: AnnouncedBackendServer): AnnouncedBackendServer {
    return this.terms === undefined
      ? announced
      : this.history.describe(this.location.host, announced);
  }

  /**
   * Takes up the rollout orders among records of the operator.
   *
   * @param records - records of the operator's topic
   */
  acceptRecords(records: readonly KeyedRecord[]): void {
    const { terms } = this;
    if (terms === undefined) {
      return;
    }
    const isNew = this.hasReadOrders;
    this.hasReadOrders = true;
    records
      .filter(({ key, value }) => key.startsWith(terms.keyPrefix) && value !== undefined)
      .forEach(({ key, offset, value }) => {
        const decoded = terms
          .decodeOrder(value ?? new Uint8Array())
          .map((order) => ({ ...order, offset }));
        const expectedKey = decoded.isOk() ? terms.keyPrefix + decoded.value.service : key;
        if (decoded.isErr() || expectedKey !== key) {
          const reason = decoded.isErr() ? decoded.error : `it is for the key ${expectedKey}`;
          this.services.reject(`rollout order ${key} at offset ${offset}`, reason);
          return;
        }
        this.acceptOrder(decoded.value, isNew);
      });
  }

  /**
   * Handles a datagram of another node.
   *
   * @param from - the address and port of its sender
   * @param bytes - the datagram
   */
  receive(from: string, bytes: Buffer): void {
    const message = decodeRolloutMessage(bytes);
    if (message?.kind === RolloutMessageKind.Statement) {
      this.acceptStatement(from, message.statement);
    } else if (message?.kind === RolloutMessageKind.Evidence) {
      const { report } = message;
      const held = this.statements.of(report.service);
      if (held?.statement.offset === report.offset) {
        this.controllerOf(held)?.acceptEvidence(report);
        if (report.stopped) {
          this.control(held);
        }
      }
    } else if (message?.kind === RolloutMessageKind.Question) {
      this.statements.all.forEach((held) => this.sendStatement([from], held));
    }
  }

  private get open(): readonly HeldStatement[] {
    return this.statements.all.filter(({ statement }) => !isFinal(statement.stage));
  }

  private scheduleTick(): void {
    this.services.clock.after(TICK_MS, () => {
      if (!this.stopped) {
        this.tick();
        this.scheduleTick();
      }
    });
  }

  private tick(): void {
    this.logMixedVersions();
    this.askAboutVersions();
    if (this.statements.size > 0) {
      this.ticks += 1;
      // All requests are at stake in a shift, so what is bad must be known sooner.
      const isShifting = this.open.some(({ statement }) => statement.stage >= RolloutStage.Ramp);
      if (isShifting || this.ticks % TICKS_PER_REPORT === 0) {
        this.reportEvidence();
      }
      this.statements.all.forEach((held) => this.control(held));
    }
  }

  /** Logs once which version serves where several are announced, since the others get no requests. */
  private logMixedVersions(): void {
    this.history.mixedServices.forEach((service) => {
      const incumbent = this.history.incumbentOf(service);
      if (this.loggedIncumbents.get(service) !== incumbent) {
        this.loggedIncumbents.set(service, incumbent);
        this.services.log.record(Importance.Notable, 'several-versions', { service, incumbent });
      }
    });
  }

  /** A node that was started or cut off during a rollout learns of it from others. */
  private askAboutVersions(): void {
    const isUnexplained = this.history.mixedServices.some(
      (service) => this.statements.of(service) === undefined,
    );
    if (isUnexplained && this.questions < MAX_QUESTIONS) {
      this.questions += 1;
      const message = { kind: RolloutMessageKind.Question };
      const ownZone = sample(this.services.randomness, this.others(true), QUESTION_RECEIVERS);
      const otherZone = sample(this.services.randomness, this.others(false), 1);
      this.send(
        [...ownZone, ...otherZone].map(({ peerAddress }) => peerAddress),
        message,
      );
    }
  }

  private acceptOrder(order: RolloutOrder, isNew: boolean): void {
    const { service } = order;
    const baseVersion = this.history.incumbentOf(service);
    if (!this.statements.learnOrder(order, baseVersion, this.location.host)) {
      return;
    }
    this.noteNews(order.service);
    const { durationMs, offset, targetVersion } = order;
    this.services.log.record(Importance.Notable, 'rollout-ordered', {
      service,
      offset,
      baseVersion,
      targetVersion,
      durationMs,
      isNew,
    });
    const held = this.statements.of(service);
    if (held !== undefined) {
      this.controllerOf(held, isNew);
      this.control(held);
    }
  }

  private acceptStatement(from: string, statement: RolloutStatement): void {
    const { service } = statement;
    const known = this.statements.of(service);
    const effect = this.statements.accept(statement);
    const held = this.statements.of(service);
    if (held === undefined) {
      return;
    }
    if (effect === StatementEffect.Outdated) {
      const { offset, stage } = held.statement;
      if (statement.offset < offset || statement.stage < stage) {
        this.sendStatement([from], held);
      }
      return;
    }
    if (this.ranksBefore(service, statement.controller)) {
      this.ledAtMs.set(service, this.services.clock.monotonicMs());
    }
    if (effect === StatementEffect.News) {
      if (known?.statement.offset !== statement.offset) {
        this.noteNews(service);
      }
      this.applyStage(held);
    }
    this.passOn(held, effect === StatementEffect.News);
  }

  /** Starts to count the time without word of a controller, which begins with the order. */
  private noteNews(service: string): void {
    this.ledAtMs.set(service, this.services.clock.monotonicMs());
  }

  private applyStage({ statement }: HeldStatement): void {
    const { baseVersion, controller, elapsedMs, offset, service, stage, targetVersion } = statement;
    this.services.metrics.count('rollout_stages', { service, stage: stageNames[stage] });
    this.services.log.record(Importance.Notable, 'rollout-stage', {
      service,
      offset,
      stage: stageNames[stage],
      baseVersion,
      targetVersion,
      elapsedMs: Math.round(elapsedMs),
      controller,
    });
    if (stage === RolloutStage.Completed) {
      const sinceMs = this.services.clock.now().getTime();
      this.history.learn(service, targetVersion, { order: offset, sinceMs });
      this.services.onIntroduced();
    }
  }

  /** Decides on a rollout if this node is its controller, and tells others that it does. */
  private control(held: HeldStatement): void {
    const { clock } = this.services;
    const { service, stage } = held.statement;
    const nowMs = clock.monotonicMs();
    if (isFinal(stage) && nowMs - held.stageSinceMs > FINAL_BEATS_MS) {
      return;
    }
    const rank = this.rankOf(service, this.location.host);
    const ledMs = nowMs - (this.ledAtMs.get(service) ?? -Infinity);
    const isController = rank >= 0 && ledMs >= rank * TAKEOVER_MS;
    const controller = isController ? this.controllerOf(held) : undefined;
    if (controller === undefined) {
      return;
    }
    controller.decide(this.statements.elapsedMs(held), nowMs - held.stageSinceMs);
    const latest = this.statements.of(service);
    const isDue = nowMs - (this.sentAtMs.get(service) ?? -Infinity) >= BEAT_MS;
    if (latest !== undefined && isDue) {
      this.state(latest, latest.statement.stage);
    }
  }

  /** Makes a statement as the controller. */
  private state(held: HeldStatement, stage: RolloutStage): void {
    const { service } = held.statement;
    const elapsedMs = this.statements.elapsedMs(held);
    const controller = this.location.host;
    const effect = this.statements.accept({ ...held.statement, stage, elapsedMs, controller });
    const latest = this.statements.of(service) ?? held;
    this.sentAtMs.set(service, this.services.clock.monotonicMs());
    const isNews = effect === StatementEffect.News;
    if (isNews) {
      this.applyStage(latest);
    }
    const others = this.othersByZone().flatMap((nodes) =>
      sample(this.services.randomness, nodes, OTHER_ZONE_RECEIVERS),
    );
    const ranked = this.rankedFor(service);
    this.sendStatement(
      [...ranked, ...others].map(({ peerAddress }) => peerAddress),
      latest,
    );
    this.passOn(latest, isNews);
    if (isNews) {
      this.reportEvidence();
    }
  }

  private passOn(held: HeldStatement, isNews: boolean): void {
    const { clock, randomness } = this.services;
    const sendTo = (count: number): void =>
      this.sendStatement(
        sample(randomness, this.others(true), count).map(({ peerAddress }) => peerAddress),
        this.statements.of(held.statement.service) ?? held,
      );
    sendTo(isNews ? NEWS_RECEIVERS : BEAT_RECEIVERS);
    if (isNews) {
      clock.after(REPEAT_DELAY_MS, () => sendTo(BEAT_RECEIVERS));
    }
  }

  private reportEvidence(): void {
    const report = this.gate?.report;
    const held = report === undefined ? undefined : this.statements.of(report.service);
    if (report === undefined || held === undefined) {
      return;
    }
    const { announcements } = this.services.directory;
    this.reports += 1;
    const isCopied = report.stopped || this.reports % REPORTS_PER_COPY === 0;
    const receivers = this.rankedFor(report.service)
      .slice(0, isCopied ? EVIDENCE_RECEIVERS : 0)
      .map(({ host }) => host);
    const hosts = new Set([...receivers, held.statement.controller]);
    if (hosts.has(this.location.host)) {
      this.controllerOf(held)?.acceptEvidence(report);
    }
    const addresses = announcements
      .filter(({ host }) => host !== this.location.host && hosts.has(host))
      .map(({ peerAddress }) => peerAddress);
    this.send(addresses, { kind: RolloutMessageKind.Evidence, report });
  }

  /** Returns the controller of this node for an order, which collects evidence before it is needed. */
  private controllerOf({ statement }: HeldStatement, isNew = false): RolloutController | undefined {
    const { clock, log, statusStore } = this.services;
    const { offset, service } = statement;
    if (statusStore === undefined || this.terms === undefined) {
      return undefined;
    }
    const key = `${service} ${offset}`;
    const known = this.controllers.get(key);
    if (known !== undefined) {
      return known;
    }
    // An order replaces the earlier ones of its service.
    [...this.controllers.keys()]
      .filter((other) => other.startsWith(`${service} `))
      .forEach((other) => this.controllers.delete(other));
    const current = (): RolloutStatement => {
      const latest = this.statements.of(service)?.statement;
      return latest?.offset === offset ? latest : statement;
    };
    const controller = new RolloutController(
      {
        clock,
        log,
        store: statusStore,
        current,
        servers: () => this.serversOf(current()),
        onStage: (stage) => {
          const held = this.statements.of(service);
          if (held?.statement.offset === offset && stage > held.statement.stage) {
            this.state(held, stage);
          }
        },
      },
      this.terms.keyPrefix + service,
      isNew,
    );
    this.controllers.set(key, controller);
    return controller;
  }

  private serversOf({ baseVersion, service, targetVersion }: RolloutStatement): RolloutServers {
    const { directory, isSilent } = this.services;
    const slotsOf = (version: string): number =>
      directory
        .endpointsOf(service)
        .filter(({ backendServer }) => (backendServer.version ?? baseVersion) === version)
        .filter(({ host }) => !isSilent(host))
        .reduce((total, { backendServer }) => total + backendServer.slots, 0);
    const targetSlots = slotsOf(targetVersion);
    const endpoints = directory.endpointsOf(service);
    const baseHosts = endpoints
      .filter(({ backendServer }) => (backendServer.version ?? baseVersion) === baseVersion)
      .map(({ host }) => host);
    return {
      slotShare: targetSlots === 0 ? 0 : targetSlots / Math.max(1, slotsOf(baseVersion)),
      baseHosts,
      baseHostsInReach: baseHosts.filter((host) => !isSilent(host)),
      announced: endpoints.length,
    };
  }

  private rankOf(service: string, host: string): number {
    return this.rankedFor(service).findIndex((one) => one.host === host);
  }

  /** Ranks the nodes again only if an announcement has changed, because a fleet may have thousands. */
  private rankedFor(service: string): readonly Announcement[] {
    const { announcements, digest } = this.services.directory;
    if (this.ranking.digest !== digest) {
      this.ranking = { digest, byService: new Map() };
    }
    const { byService } = this.ranking;
    const ranked = byService.get(service) ?? rankControllers(announcements, service);
    byService.set(service, ranked);
    return ranked;
  }

  /** Whether another node ranks before this one, so that its statements hold this one back. */
  private ranksBefore(service: string, host: string): boolean {
    const rank = this.rankOf(service, host);
    const ownRank = this.rankOf(service, this.location.host);
    return rank >= 0 && rank < ownRank;
  }

  private others(inOwnZone: boolean): readonly Announcement[] {
    return this.services.directory.announcements.filter(
      ({ host, zone }) =>
        host !== this.location.host && (zone === this.location.zone) === inOwnZone,
    );
  }

  private othersByZone(): readonly (readonly Announcement[])[] {
    const byZone = new Map<string, Announcement[]>();
    this.others(false).forEach((announcement) => {
      const nodes = byZone.get(announcement.zone) ?? [];
      nodes.push(announcement);
      byZone.set(announcement.zone, nodes);
    });
    return [...byZone.values()];
  }

  private sendStatement(peerAddresses: readonly string[], held: HeldStatement): void {
    const { statement } = held;
    this.send(peerAddresses, { kind: RolloutMessageKind.Statement, statement });
  }

  private send(peerAddresses: readonly string[], message: RolloutMessage): void {
    const { directory, metrics, send } = this.services;
    const own = directory.announcementOf(this.location.host)?.peerAddress;
    const bytes = encodeRolloutMessage(message);
    new Set(peerAddresses).forEach((peerAddress) => {
      if (peerAddress !== own) {
        metrics.count('rollout_messages', { kind: message.kind });
        send(peerAddress, bytes);
      }
    });
  }
}
