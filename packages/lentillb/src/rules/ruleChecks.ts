/** What the rules of one file must be to each other: declared, single, reachable. */
import type { Fault } from './fault.js';
import { PathTree } from './pathTree.js';
import type { PlacedRule } from './ruleFile.js';
import type { RuleKind } from './ruleForms.js';
import { RouteMethod } from './ruleForms.js';

const FULL_PERCENT = 100;

type RuleIndex = {
  readonly [Kind in RuleKind]: readonly PlacedRule<Kind>[];
};

function indexByKind(rules: readonly PlacedRule[]): RuleIndex {
  const index: Record<string, PlacedRule[]> = {
    service: [],
    route: [],
    group: [],
    limitRoute: [],
    limitGroup: [],
    retry: [],
    splitWeight: [],
    splitHeader: [],
    zone: [],
  };
  rules.forEach((rule) => index[rule.kind]?.push(rule));
  return index as unknown as RuleIndex;
}

function faultAt(rule: { readonly line: number }, message: string): Fault {
  return { line: rule.line, column: 1, message };
}

/** What makes two rules of a kind the same rule. */
const identities: { readonly [Kind in RuleKind]: (rule: PlacedRule<Kind>) => string } = {
  service: (rule) => `service ${rule.name}`,
  route: (rule) => `route ${rule.method} ${rule.path}`,
  group: (rule) => `group ${rule.name}`,
  limitRoute: (rule) => `limit route ${rule.method} ${rule.path}`,
  limitGroup: (rule) => `limit group ${rule.group}`,
  retry: (rule) => `retry ${rule.service}`,
  splitWeight: (rule) => `split ${rule.service} weight to ${rule.target}`,
  splitHeader: (rule) => `split ${rule.service} header ${rule.header} ${rule.value}`,
  zone: (rule) => `zone ${rule.service}`,
};

function identityOf(rule: PlacedRule): string {
  const identity = identities[rule.kind] as (rule: PlacedRule) => string;
  return identity(rule);
}

function checkDuplicates(rules: readonly PlacedRule[]): Fault[] {
  const firstLines = new Map<string, number>();
  return rules.flatMap((rule) => {
    const identity = identityOf(rule);
    const first = firstLines.get(identity);
    if (first === undefined) {
      firstLines.set(identity, rule.line);
      return [];
    }
    return [faultAt(rule, `"${identity}" stands on line ${first} already; keep one of the two`)];
  });
}

function checkShadowedRoutes(index: RuleIndex): Fault[] {
  const earlier = new PathTree<PlacedRule<'route'>>();
  return index.route.flatMap((route) => {
    const cover = earlier
      .match(route.path)
      .find(
        (other) =>
          (other.method === route.method || other.method === RouteMethod.Any) &&
          !(other.method === route.method && other.path === route.path),
      );
    earlier.add(route.path, route);
    if (cover === undefined) {
      return [];
    }
    const message = `route is never reached, line ${cover.line} takes all its calls; move it above that line`;
    return [faultAt(route, message)];
  });
}

function checkServices(index: RuleIndex): Fault[] {
  const declared = new Set(index.service.map((service) => service.name));
  const list = [...declared].sort().join(', ') || 'none';
  const missing = (rule: PlacedRule, what: string, name: string): Fault[] =>
    declared.has(name)
      ? []
      : [faultAt(rule, `${what} unknown service "${name}"; declared services: ${list}`)];
  return [
    ...index.route.flatMap((rule) => missing(rule, 'route to', rule.service)),
    ...index.retry.flatMap((rule) => missing(rule, 'retry of', rule.service)),
    ...index.zone.flatMap((rule) => missing(rule, 'zone of', rule.service)),
    ...[...index.splitWeight, ...index.splitHeader].flatMap((rule) => [
      ...missing(rule, 'split of', rule.service),
      ...missing(rule, 'split to', rule.target),
    ]),
  ];
}

function checkLimits(index: RuleIndex): Fault[] {
  const routes = new Set(index.route.map((route) => `${route.method} ${route.path}`));
  const groups = new Set(index.group.map((group) => group.name));
  return [
    ...index.limitRoute
      .filter((rule) => !routes.has(`${rule.method} ${rule.path}`))
      .map((rule) =>
        faultAt(rule, `limit of unknown route "${rule.method} ${rule.path}"; add that route`),
      ),
    ...index.limitGroup
      .filter((rule) => !groups.has(rule.group))
      .map((rule) => faultAt(rule, `limit of unknown group "${rule.group}"; add that group`)),
  ];
}

function checkSplits(index: RuleIndex): Fault[] {
  const splits = [...index.splitWeight, ...index.splitHeader];
  const split = new Set(splits.map((rule) => rule.service));
  const chained = splits
    .filter((rule) => split.has(rule.target))
    .map((rule) =>
      faultAt(rule, `split to "${rule.target}", which is split itself; name the final service`),
    );
  const totals = new Map<string, number>();
  const overfull = index.splitWeight.flatMap((rule) => {
    const total = (totals.get(rule.service) ?? 0) + rule.percent;
    totals.set(rule.service, total);
    return total <= FULL_PERCENT
      ? []
      : [faultAt(rule, `split of "${rule.service}" adds up to ${total}%; keep it within 100%`)];
  });
  return [...chained, ...overfull];
}

/**
 * @param rules - the rules of one file
 * @returns every fault between them, in no particular order
 */
export function checkReferences(rules: readonly PlacedRule[]): readonly Fault[] {
  const index = indexByKind(rules);
  return [
    ...checkDuplicates(rules),
    ...checkShadowedRoutes(index),
    ...checkServices(index),
    ...checkLimits(index),
    ...checkSplits(index),
  ];
}
