/** Answers from the rule file why a request goes where it goes. */
import type { IncomingHttpHeaders } from 'node:http';
import type { AcceptedLine, ConfigurationState } from '../distribution/configurationState.js';
import type { Judgement } from '../distribution/configurationRecord.js';
import type { Services } from '../kernel/services.js';
import type { Endpoint } from '../membership/fleetView.js';
import type { PlacedRule } from '../rules/ruleFile.js';
import { RoutingTable } from '../routing/table/routingTable.js';

/** A rule that has a part in the decision. */
export interface DecidingRule {
  readonly kind: PlacedRule['kind'];
  readonly line: number;
  readonly text: string;
  readonly requester: string;
  readonly reason: string;
  /** The version that brought the line, which is also its offset in the log. */
  readonly version: number;
  readonly author: string;
  /** When that version was accepted, where the history still holds it. */
  readonly acceptedAt?: string;
}

/** Why a request goes where it goes. */
export interface Explanation {
  /** The version in force. */
  readonly version: number;
  /** The rules that decide, the route first; none where no route takes the request. */
  readonly rules: readonly DecidingRule[];
  /** The services the request can go to, with the backend servers eligible now. */
  readonly services: readonly {
    readonly service: string;
    readonly backendServers: readonly Endpoint[];
  }[];
}

/** A request to explain. */
export interface ExplainedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
}

function describeRule(
  rule: PlacedRule,
  lines: readonly AcceptedLine[],
  judgements: readonly Judgement[],
): DecidingRule {
  const line = lines[rule.line - 1];
  const accepted = judgements.find((judgement) => judgement.offset === line?.version);
  return {
    kind: rule.kind,
    line: rule.line,
    text: line?.text ?? '',
    requester: rule.comment.requester,
    reason: rule.comment.reason,
    version: line?.version ?? 0,
    author: line?.author ?? '',
    acceptedAt: accepted?.at,
  };
}

function decidingRules(
  table: RoutingTable,
  route: PlacedRule<'route'>,
  headers: IncomingHttpHeaders,
): readonly PlacedRule[] {
  const group = table.group(headers);
  const splits = table.splits(route.service);
  const services = [route.service, ...splits.map(({ target }) => target)];
  const ofServices = [...new Set(services)].flatMap((service) => [
    table.service(service),
    table.retry(service),
    table.zone(service),
  ]);
  const all = [route, group, ...table.limits(route, group), ...splits, ...ofServices];
  return all.filter((rule) => rule !== undefined);
}

/**
 * @param state - the configuration in force
 * @param fleetView - the backend servers known
 * @param request - the request to explain
 * @returns the rules that decide, and where the request can go
 */
export function explain(
  state: ConfigurationState,
  fleetView: Services['fleetView'],
  { method, target, headers }: ExplainedRequest,
): Explanation {
  const { version, lines, judgements } = state;
  const table = new RoutingTable(state);
  const route = table.route(method, target);
  if (route === undefined) {
    return { version, rules: [], services: [] };
  }
  const rules = decidingRules(table, route, headers).map((rule) =>
    describeRule(rule, lines, judgements),
  );
  const targets = table.splits(route.service).map((split) => split.target);
  const services = [...new Set([route.service, ...targets])].map((service) => ({
    service,
    backendServers: fleetView.endpointsOf(service),
  }));
  return { version, rules, services };
}
