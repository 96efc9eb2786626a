/** Explains which rules decide where a request is routed. */
import type { IncomingHttpHeaders } from 'node:http';
import type { AcceptedLine, ConfigurationState } from '../distribution/configurationState.js';
import type { Judgement } from '../distribution/configurationRecord.js';
import type { Services } from '../kernel/services.js';
import type { Endpoint } from '../membership/fleetView.js';
import type { LocatedRule } from '../rules/ruleFile.js';
import { RoutingTable } from '../routing/table/routingTable.js';

/** A rule that applies to the request. */
export interface AppliedRule {
  readonly kind: LocatedRule['kind'];
  readonly line: number;
  readonly text: string;
  readonly requester: string;
  readonly reason: string;
  /** The version that added the line, which is also the offset of its record in the log. */
  readonly version: number;
  readonly author: string;
  /** The time at which that version was accepted, if the history still holds it. */
  readonly acceptedAt?: string;
}

/** The explanation of how a request is routed. */
export interface Explanation {
  /** The version in force. */
  readonly version: number;
  /** The rules that apply, the route first; none if no route matches the request. */
  readonly rules: readonly AppliedRule[];
  /** The services that can receive the request, with the backend servers that are eligible now. */
  readonly services: readonly {
    readonly service: string;
    readonly backendServers: readonly Endpoint[];
  }[];
}

/** The request to explain. */
export interface ExplainedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
}

function describeRule(
  rule: LocatedRule,
  lines: readonly AcceptedLine[],
  judgements: readonly Judgement[],
): AppliedRule {
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

function findAppliedRules(
  table: RoutingTable,
  route: LocatedRule<'route'>,
  headers: IncomingHttpHeaders,
): readonly LocatedRule[] {
  const group = table.group(headers);
  const splits = table.splits(route.service);
  const services = [route.service, ...splits.map(({ target }) => target)];
  const serviceRules = [...new Set(services)].flatMap((service) => [
    table.service(service),
    table.retry(service),
    table.zone(service),
  ]);
  const applicable = [route, group, ...table.limits(route, group), ...splits, ...serviceRules];
  return applicable.filter((rule) => rule !== undefined);
}

/**
 * @param state - the configuration in force
 * @param fleetView - the view that lists the backend servers
 * @param request - the request to explain
 * @returns the rules that apply, and the services that can receive the request
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
  const rules = findAppliedRules(table, route, headers).map((rule) =>
    describeRule(rule, lines, judgements),
  );
  const targets = table.splits(route.service).map((split) => split.target);
  const services = [...new Set([route.service, ...targets])].map((service) => ({
    service,
    backendServers: fleetView.endpointsOf(service),
  }));
  return { version, rules, services };
}
