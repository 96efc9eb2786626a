/**
 * Compiles a configuration version for routing. A table is immutable, and a request uses the same
 * table from start to end.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { ConfigurationState } from '../../distribution/configurationState.js';
import type { Randomness } from '../../kernel/randomness.js';
import { PathTree } from '../../rules/pathTree.js';
import { rulesOfKind } from '../../rules/ruleFile.js';
import type { LocatedRule } from '../../rules/ruleFile.js';
import { RouteMethod } from '../../rules/ruleForms.js';

const FULL_PERCENT = 100;

/** A rule that limits the calls of a caller group or of a route. */
export type LimitRule = LocatedRule<'limitGroup'> | LocatedRule<'limitRoute'>;

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const grouped = new Map<string, Item[]>();
  items.forEach((item) => {
    const members = grouped.get(keyOf(item)) ?? [];
    members.push(item);
    grouped.set(keyOf(item), members);
  });
  return grouped;
}

function keyBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item> {
  return new Map(items.map((item) => [keyOf(item), item]));
}

function pathWithoutQuery(target: string): string {
  const queryStart = target.indexOf('?');
  return queryStart < 0 ? target : target.slice(0, queryStart);
}

/** Looks up the rules of one configuration version by the attributes of a request. */
export class RoutingTable {
  /** The configuration version that the table was compiled from. */
  readonly version: number;

  private readonly routes = new PathTree<LocatedRule<'route'>>();

  private readonly services: ReadonlyMap<string, LocatedRule<'service'>>;

  private readonly groups: readonly LocatedRule<'group'>[];

  private readonly routeLimits: ReadonlyMap<string, LocatedRule<'limitRoute'>>;

  private readonly groupLimits: ReadonlyMap<string, LocatedRule<'limitGroup'>>;

  private readonly retries: ReadonlyMap<string, LocatedRule<'retry'>>;

  private readonly zones: ReadonlyMap<string, LocatedRule<'zone'>>;

  private readonly headerSplits: ReadonlyMap<string, LocatedRule<'splitHeader'>[]>;

  private readonly weightSplits: ReadonlyMap<string, LocatedRule<'splitWeight'>[]>;

  /** @param state - the configuration to compile */
  constructor({ version, rules }: Pick<ConfigurationState, 'version' | 'rules'>) {
    this.version = version;
    rulesOfKind(rules, 'route').forEach((route) => this.routes.add(route.path, route));
    this.services = keyBy(rulesOfKind(rules, 'service'), ({ name }) => name);
    this.groups = rulesOfKind(rules, 'group');
    this.routeLimits = keyBy(
      rulesOfKind(rules, 'limitRoute'),
      ({ method, path }) => `${method} ${path}`,
    );
    this.groupLimits = keyBy(rulesOfKind(rules, 'limitGroup'), ({ group }) => group);
    this.retries = keyBy(rulesOfKind(rules, 'retry'), ({ service }) => service);
    this.zones = keyBy(rulesOfKind(rules, 'zone'), ({ service }) => service);
    this.headerSplits = groupBy(rulesOfKind(rules, 'splitHeader'), ({ service }) => service);
    this.weightSplits = groupBy(rulesOfKind(rules, 'splitWeight'), ({ service }) => service);
  }

  /**
   * @param method - the method of a request
   * @param target - the request target: the path, with or without a query
   * @returns the first matching route in the order of the rule file
   */
  route(method: string, target: string): LocatedRule<'route'> | undefined {
    return this.routes
      .match(pathWithoutQuery(target))
      .filter((route) => route.method === method || route.method === RouteMethod.Any)
      .reduce<LocatedRule<'route'> | undefined>(
        (first, route) => (first === undefined || route.line < first.line ? route : first),
        undefined,
      );
  }

  /**
   * @param name - the name of a service
   * @returns its rule; undefined if the service is not declared
   */
  service(name: string): LocatedRule<'service'> | undefined {
    return this.services.get(name);
  }

  /** @returns the names of all declared services, in file order */
  serviceNames(): readonly string[] {
    return [...this.services.keys()];
  }

  /**
   * @param headers - the headers of a request
   * @returns the first group in the rule file that its caller belongs to
   */
  group(headers: IncomingHttpHeaders): LocatedRule<'group'> | undefined {
    return this.groups.find(({ header, value }) => headers[header] === value);
  }

  /**
   * @param route - a route
   * @param group - the caller's group, if any
   * @returns the limits that apply to a call
   */
  limits(
    route: LocatedRule<'route'>,
    group: LocatedRule<'group'> | undefined,
  ): readonly LimitRule[] {
    const limits = [
      this.groupLimits.get(group?.name ?? ''),
      this.routeLimits.get(`${route.method} ${route.path}`),
    ];
    return limits.filter((limit) => limit !== undefined);
  }

  /**
   * @param service - the name of a service
   * @returns its retry rule, if any
   */
  retry(service: string): LocatedRule<'retry'> | undefined {
    return this.retries.get(service);
  }

  /**
   * @param service - the name of a service
   * @returns its zone rule, if any
   */
  zone(service: string): LocatedRule<'zone'> | undefined {
    return this.zones.get(service);
  }

  /**
   * @param service - the name of a service
   * @returns the rules that split its calls, in file order
   */
  splits(service: string): readonly LocatedRule<'splitHeader' | 'splitWeight'>[] {
    return [
      ...(this.headerSplits.get(service) ?? []),
      ...(this.weightSplits.get(service) ?? []),
    ].sort((left, right) => left.line - right.line);
  }

  /**
   * Chooses the service that receives a call after splits: a matching header split first, else a
   * random choice by weight.
   *
   * @param service - the service that the route names
   * @param headers - the headers of the request
   * @param randomness - the random source of the choice by weight
   * @returns the name of the service
   */
  splitTarget(service: string, headers: IncomingHttpHeaders, randomness: Randomness): string {
    const byHeader = this.headerSplits
      .get(service)
      ?.find(({ header, value }) => headers[header] === value);
    if (byHeader !== undefined) {
      return byHeader.target;
    }
    const weights = this.weightSplits.get(service);
    if (weights === undefined) {
      return service;
    }
    let remainingPercent = randomness.integer(FULL_PERCENT);
    const chosen = weights.find(({ percent }) => {
      remainingPercent -= percent;
      return remainingPercent < 0;
    });
    return chosen?.target ?? service;
  }
}
