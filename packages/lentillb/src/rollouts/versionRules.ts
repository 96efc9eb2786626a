/**
 * Decides which versions of a service may get requests. Entries choose their candidates by it, and
 * gates refuse what it does not allow, so that an entry that knows less sends nothing wrong.
 */
import type { GateEndpoint } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import { hash32 } from '../utils/hash.js';
import type { RolloutStatement } from './rollout.js';
import { isCanary, isFinal, RolloutStage, targetShares } from './rollout.js';
import type { RolloutStatements } from './rolloutStatements.js';
import type { VersionHistory } from './versionHistory.js';

/**
 * The time without word of a controller after which a node ends the canary, in milliseconds. What is
 * learnt of the target version then no longer reaches the node, nor this node's evidence the controller.
 */
const CANARY_LEASE_MS = 3_000;
/**
 * The time for which gates of the base version still take requests in the shift, in milliseconds, so that
 * entries that learn of it some datagrams later are not refused by all gates.
 */
const SHIFT_GRACE_MS = 400;

/** The versions that may get requests. */
interface VersionRule {
  readonly base: string;
  readonly target: string | undefined;
  /** The share of requests for the target version, from 0 to 1. */
  readonly share: number;
  readonly isWide: boolean;
  /** When the stage was learnt, in milliseconds of the monotonic clock. */
  readonly sinceMs: number;
}

/** The endpoints of a service by version, for one rule. */
interface EndpointsByVersion {
  readonly rule: VersionRule;
  readonly base: readonly GateEndpoint[];
  readonly target: readonly GateEndpoint[];
}

/** A request of which some attempts may have been made. */
export interface RoutedRequest {
  readonly request: { readonly service: string };
  /** How often the request was sent to a gate. */
  readonly transmissions: number;
}

/** The services that the rules depend on. */
export interface VersionRulesServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly history: VersionHistory;
  readonly statements: RolloutStatements;
  /** Returns whether a gate responds and its backend server is not leaving. */
  readonly isUsable: (endpoint: GateEndpoint) => boolean;
}

/** The rules of all services. */
export class VersionRules {
  private readonly endpointsByVersion = new WeakMap<readonly GateEndpoint[], EndpointsByVersion>();

  /** Whether a request goes to the target version first. */
  private readonly choices = new WeakMap<RoutedRequest, boolean>();

  /** The requests that this entry owes the target version, by service; a fraction accumulates. */
  private readonly credits = new Map<string, number>();

  constructor(private readonly services: VersionRulesServices) {}

  /**
   * Returns the gates that may get a request.
   *
   * @param routed - the request and its attempts
   * @param endpoints - all gates of its service
   * @returns the same list if no rule applies
   */
  filter(routed: RoutedRequest, endpoints: readonly GateEndpoint[]): readonly GateEndpoint[] {
    const { service } = routed.request;
    const rule = this.ruleOf(service);
    if (rule === undefined) {
      return endpoints;
    }
    const { base, target } = this.split(endpoints, rule);
    if (rule.share >= 1) {
      return target;
    }
    // Another attempt goes to the base version, so that a bad version costs a request at most one.
    if (rule.share === 0 || routed.transmissions > 0 || !this.isForTarget(routed, rule)) {
      return base;
    }
    const usable = target.filter((endpoint) => this.services.isUsable(endpoint));
    const count = this.canaryCount(rule, base.length);
    // The wide canary begins at the other end, because a fast server may hide that a version is slow.
    const canaries = rule.isWide ? usable.slice(-count) : usable.slice(0, count);
    return canaries.length > 0 ? canaries : base;
  }

  /**
   * @param service - the name of the service
   * @param version - the version of a backend server; undefined if it states none
   * @returns whether the gate of the backend server may let it run requests now
   */
  mayRun(service: string, version: string | undefined): boolean {
    const rule = this.ruleOf(service);
    if (rule === undefined) {
      return true;
    }
    if (version !== undefined && version === rule.target) {
      return rule.share > 0;
    }
    const isInGrace = this.services.clock.monotonicMs() - rule.sinceMs < SHIFT_GRACE_MS;
    const isBase = version === undefined || version === rule.base;
    return isBase && (rule.share < 1 || isInGrace);
  }

  private ruleOf(service: string): VersionRule | undefined {
    const { clock, history, statements } = this.services;
    const held = statements.size === 0 ? undefined : statements.of(service);
    if (held === undefined || this.hasEnded(held.statement)) {
      return history.isMixed(service)
        ? {
            base: history.incumbentOf(service),
            target: undefined,
            share: 0,
            isWide: false,
            sinceMs: 0,
          }
        : undefined;
    }
    const { baseVersion, stage, targetVersion } = held.statement;
    const isLapsed = clock.monotonicMs() - held.heardAtMs > CANARY_LEASE_MS && isCanary(stage);
    const isReplaced = baseVersion !== targetVersion;
    return {
      base: baseVersion,
      target: isReplaced ? targetVersion : undefined,
      share: isLapsed || !isReplaced ? 0 : targetShares[stage],
      isWide: stage > RolloutStage.Canary,
      sinceMs: held.stageSinceMs,
    };
  }

  /**
   * Whether the rollout of a statement has ended. A node that was cut off when it did may learn of the
   * outcome first from the announcements of the target version.
   */
  private hasEnded({ offset, service, stage, targetVersion }: RolloutStatement): boolean {
    return isFinal(stage) || this.services.history.orderOf(service, targetVersion) >= offset;
  }

  private split(endpoints: readonly GateEndpoint[], rule: VersionRule): EndpointsByVersion {
    const known = this.endpointsByVersion.get(endpoints);
    if (known?.rule.base === rule.base && known.rule.target === rule.target) {
      return known;
    }
    const versionOf = ({ backendServer }: GateEndpoint): string =>
      backendServer.version ?? rule.base;
    const split = {
      rule,
      base: endpoints.filter((endpoint) => versionOf(endpoint) === rule.base),
      // The same on all nodes, so that all of them send their share to the same backend servers.
      target: endpoints
        .filter((endpoint) => versionOf(endpoint) === rule.target)
        .sort((left, right) => hash32(left.host) - hash32(right.host)),
    };
    this.endpointsByVersion.set(endpoints, split);
    return split;
  }

  /** The number of backend servers that get the canary share, so that each is as loaded as an old one. */
  // eslint-disable-next-line class-methods-use-this -- belongs to the decision above
  private canaryCount({ share }: VersionRule, baseCount: number): number {
    return Math.max(1, Math.round(share * baseCount));
  }

  private isForTarget(routed: RoutedRequest, { share }: VersionRule): boolean {
    const chosen = this.choices.get(routed);
    if (chosen !== undefined) {
      return chosen;
    }
    const { service } = routed.request;
    // Entries start at random, so that many with few requests each keep to the share together.
    const credit = (this.credits.get(service) ?? this.services.randomness.fraction()) + share;
    const isChosen = credit >= 1;
    this.credits.set(service, isChosen ? credit - 1 : credit);
    this.choices.set(routed, isChosen);
    return isChosen;
  }
}
