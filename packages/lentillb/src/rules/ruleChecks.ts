/**
 * Checks the rules of one file against each other: references must be declared, rules unique, routes
 * reachable and splits consistent.
 */
import type { Fault } from './fault.js';
import { PathTree } from './pathTree.js';
import type { LocatedRule } from './ruleFile.js';
import type { RuleKind } from './ruleForms.js';
import { RouteMethod } from './ruleForms.js';

const FULL_PERCENT = 100;

type RuleIndex = {
  readonly [Kind in RuleKind]: readonly LocatedRule<Kind>[];
};

function indexByKind(rules: readonly LocatedRule[]): RuleIndex {
  const index: Record<string, LocatedRule[]> = {
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

/**
 * The functions that return the key of a rule, by kind. Two rules with the same key are duplicates.
 */
const ruleKeys: { readonly [Kind in RuleKind]: (rule: LocatedRule<Kind>) => string } = {
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

function ruleKeyOf(rule: LocatedRule): string {
  const keyOfKind = ruleKeys[rule.kind] as (rule: LocatedRule) => string;
  return keyOfKind(rule);
}

function checkDuplicates(rules: readonly LocatedRule[]): Fault[] {
  const firstLines = new Map<string, number>();
  return rules.flatMap((rule) => {
    const key = ruleKeyOf(rule);
    const first = firstLines.get(key);
    if (first === undefined) {
      firstLines.set(key, rule.line);
      return [];
    }
    return [faultAt(rule, `"${key}" stands on line ${first} already; keep one of the two`)];
  });
}

function checkShadowedRoutes(index: RuleIndex): Fault[] {
  const earlierRoutes = new PathTree<LocatedRule<'route'>>();
  return index.route.flatMap((route) => {
    const shadowing = earlierRoutes
      .match(route.path)
      .find(
        (other) =>
          (other.method === route.method || other.method === RouteMethod.Any) &&
          !(other.method === route.method && other.path === route.path),
      );
    earlierRoutes.add(route.path, route);
    if (shadowing === undefined) {
      return [];
    }
    const message = `route is never reached, line ${shadowing.line} takes all its calls; move it above that line`;
    return [faultAt(route, message)];
  });
}

function checkServices(index: RuleIndex): Fault[] {
  const declared = new Set(index.service.map((service) => service.name));
  const declaredNames = [...declared].sort().join(', ') || 'none';
  const checkDeclared = (rule: LocatedRule, reference: string, name: string): Fault[] =>
    declared.has(name)
      ? []
      : [
          faultAt(
            rule,
            `${reference} unknown service "${name}"; declared services: ${declaredNames}`,
          ),
        ];
  return [
    ...index.route.flatMap((rule) => checkDeclared(rule, 'route to', rule.service)),
    ...index.retry.flatMap((rule) => checkDeclared(rule, 'retry of', rule.service)),
    ...index.zone.flatMap((rule) => checkDeclared(rule, 'zone of', rule.service)),
    ...[...index.splitWeight, ...index.splitHeader].flatMap((rule) => [
      ...checkDeclared(rule, 'split of', rule.service),
      ...checkDeclared(rule, 'split to', rule.target),
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
  const splitServices = new Set(splits.map((rule) => rule.service));
  const chained = splits
    .filter((rule) => splitServices.has(rule.target))
    .map((rule) =>
      faultAt(rule, `split to "${rule.target}", which is split itself; name the final service`),
    );
  const totals = new Map<string, number>();
  const overallocated = index.splitWeight.flatMap((rule) => {
    const total = (totals.get(rule.service) ?? 0) + rule.percent;
    totals.set(rule.service, total);
    return total <= FULL_PERCENT
      ? []
      : [faultAt(rule, `split of "${rule.service}" adds up to ${total}%; keep it within 100%`)];
  });
  return [...chained, ...overallocated];
}

/**
 * @param rules - the rules of one file
 * @returns every inconsistency between them, in no particular order
 */
export function checkConsistency(rules: readonly LocatedRule[]): readonly Fault[] {
  const index = indexByKind(rules);
  return [
    ...checkDuplicates(rules),
    ...checkShadowedRoutes(index),
    ...checkServices(index),
    ...checkLimits(index),
    ...checkSplits(index),
  ];
}
