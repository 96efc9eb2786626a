/** One configuration version, compiled for routing. Immutable; a request uses one from start to end. */
import type { IncomingHttpHeaders } from 'node:http';
import type { ConfigurationState } from '../../distribution/configurationState.js';
import type { Randomness } from '../../kernel/randomness.js';
import { PathTree } from '../../rules/pathTree.js';
import { rulesOf } from '../../rules/ruleFile.js';
import type { PlacedRule } from '../../rules/ruleFile.js';
import { RouteMethod } from '../../rules/ruleForms.js';

const FULL_PERCENT = 100;

/** A caller group's or route's limit. */
export type LimitRule = PlacedRule<'limitGroup'> | PlacedRule<'limitRoute'>;

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

/** The path of a request target, without its query. */
function pathOf(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** The rules of one version, found by what a request brings. */
export class RoutingTable {
  /** The version the table was made from. */
  readonly version: number;

  private readonly routes = new PathTree<PlacedRule<'route'>>();

  private readonly services: ReadonlyMap<string, PlacedRule<'service'>>;

  private readonly groups: readonly PlacedRule<'group'>[];

  private readonly routeLimits: ReadonlyMap<string, PlacedRule<'limitRoute'>>;

  private readonly groupLimits: ReadonlyMap<string, PlacedRule<'limitGroup'>>;

  private readonly retries: ReadonlyMap<string, PlacedRule<'retry'>>;

  private readonly zones: ReadonlyMap<string, PlacedRule<'zone'>>;

  private readonly headerSplits: ReadonlyMap<string, PlacedRule<'splitHeader'>[]>;

  private readonly weightSplits: ReadonlyMap<string, PlacedRule<'splitWeight'>[]>;

  /** @param state - the configuration to compile */
  constructor({ version, rules }: Pick<ConfigurationState, 'version' | 'rules'>) {
    this.version = version;
    rulesOf(rules, 'route').forEach((route) => this.routes.add(route.path, route));
    this.services = keyBy(rulesOf(rules, 'service'), ({ name }) => name);
    this.groups = rulesOf(rules, 'group');
    this.routeLimits = keyBy(
      rulesOf(rules, 'limitRoute'),
      ({ method, path }) => `${method} ${path}`,
    );
    this.groupLimits = keyBy(rulesOf(rules, 'limitGroup'), ({ group }) => group);
    this.retries = keyBy(rulesOf(rules, 'retry'), ({ service }) => service);
    this.zones = keyBy(rulesOf(rules, 'zone'), ({ service }) => service);
    this.headerSplits = groupBy(rulesOf(rules, 'splitHeader'), ({ service }) => service);
    this.weightSplits = groupBy(rulesOf(rules, 'splitWeight'), ({ service }) => service);
  }

  /**
   * @param method - the method of a request
   * @param target - its path, with or without a query
   * @returns the first route in the file that takes it
   */
  route(method: string, target: string): PlacedRule<'route'> | undefined {
    return this.routes
      .match(pathOf(target))
      .filter((route) => route.method === method || route.method === RouteMethod.Any)
      .reduce<PlacedRule<'route'> | undefined>(
        (first, route) => (first === undefined || route.line < first.line ? route : first),
        undefined,
      );
  }

  /**
   * @param name - the name of a service
   * @returns its rule, where it is declared
   */
  service(name: string): PlacedRule<'service'> | undefined {
    return this.services.get(name);
  }

  /** @returns the names of all declared services, in file order */
  serviceNames(): readonly string[] {
    return [...this.services.keys()];
  }

  /**
   * @param headers - the headers of a request
   * @returns the first group in the file that its caller belongs to
   */
  group(headers: IncomingHttpHeaders): PlacedRule<'group'> | undefined {
    return this.groups.find(({ header, value }) => headers[header] === value);
  }

  /**
   * @param route - a route
   * @param group - the caller's group, if any
   * @returns the limits that a call has to pass
   */
  limits(route: PlacedRule<'route'>, group: PlacedRule<'group'> | undefined): readonly LimitRule[] {
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
  retry(service: string): PlacedRule<'retry'> | undefined {
    return this.retries.get(service);
  }

  /**
   * @param service - the name of a service
   * @returns its zone rule, if any
   */
  zone(service: string): PlacedRule<'zone'> | undefined {
    return this.zones.get(service);
  }

  /**
   * @param service - the name of a service
   * @returns the rules that split its calls, in file order
   */
  splits(service: string): readonly PlacedRule<'splitHeader' | 'splitWeight'>[] {
    return [
      ...(this.headerSplits.get(service) ?? []),
      ...(this.weightSplits.get(service) ?? []),
    ].sort((left, right) => left.line - right.line);
  }

  /**
   * Chooses the service a call goes to where its route's service is split: by header first, else
   * by weight.
   *
   * @param service - the service the route names
   * @param headers - the headers of the request
   * @param randomness - decides by weight
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
    let point = randomness.integer(FULL_PERCENT);
    const chosen = weights.find(({ percent }) => {
      point -= percent;
      return point < 0;
    });
    return chosen?.target ?? service;
  }
}
