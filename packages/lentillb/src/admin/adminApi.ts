/** Handles the requests of the administration API. */
import Router from '@koa/router';
import Koa from 'koa';
import type { Context } from 'koa';
import { HostState } from '@lentillb/protocol';
import { z } from 'zod';
import { textOf } from '../distribution/configurationState.js';
import type { ConfigurationState } from '../distribution/configurationState.js';
import { PublishResult } from '../distribution/publisher.js';
import { Deadline } from '../kernel/deadline.js';
import type { Services } from '../kernel/services.js';
import { formatDifference } from '../rules/lineEdits.js';
import { MAX_FILE_BYTES, splitLines } from '../rules/ruleFile.js';
import { readJson } from '../utils/readJson.js';
import type { ForbiddenLine, Team } from './access.js';
import { findForbiddenLines } from './access.js';
import type { OperationName } from './adminSchemas.js';
import { diffSchema, explainSchema, publicationSchema, timelineSchema } from './adminSchemas.js';
import { explain } from './explanation.js';
import { openApiDocument, operations } from './openApi.js';

/** Allows twice the size of a rule file, because escapes and other fields make the JSON longer. */
const MAX_BODY_BYTES = 2 * MAX_FILE_BYTES;
const HEALTH_PATH = '/v1/health';

const HttpStatus = {
  Ok: 200,
  Accepted: 202,
  BadRequest: 400,
  Unauthorized: 401,
  Forbidden: 403,
  NotFound: 404,
  Conflict: 409,
  ServiceUnavailable: 503,
} as const;

const publishStatuses: Record<PublishResult, number> = {
  [PublishResult.Accepted]: HttpStatus.Ok,
  [PublishResult.Refused]: HttpStatus.Conflict,
  [PublishResult.Unknown]: HttpStatus.Accepted,
};

type Dependencies = Pick<
  Services,
  | 'access'
  | 'callRouter'
  | 'clock'
  | 'convergence'
  | 'fleet'
  | 'fleetView'
  | 'gate'
  | 'identity'
  | 'linkTable'
  | 'logFollower'
  | 'publisher'
  | 'readerRole'
  | 'settings'
  | 'tableStore'
  | 'timeline'
  | 'versionStore'
>;

function respondWithError(context: Context, status: number, error: string): void {
  context.status = status;
  context.body = { error };
}

async function parseBody<Value>(
  context: Context,
  schema: z.ZodType<Value>,
): Promise<Value | undefined> {
  const body = await readJson(context.req, MAX_BODY_BYTES);
  if (body.isErr()) {
    respondWithError(context, HttpStatus.BadRequest, `nothing was done: ${body.error}`);
    return undefined;
  }
  const parsed = schema.safeParse(body.value);
  if (!parsed.success) {
    const reason = z.prettifyError(parsed.error);
    respondWithError(context, HttpStatus.BadRequest, `nothing was done: ${reason}`);
  }
  return parsed.data;
}

/** Serves the administration API, version 1. */
export class AdminApi {
  private readonly services: Dependencies;

  private readonly handlers: Readonly<
    Record<OperationName, (context: Context) => Promise<void> | void>
  > = {
    health: (context) => this.health(context),
    status: (context) => this.status(context),
    configuration: (context) => this.configuration(context),
    history: (context) => this.history(context),
    convergence: (context) => this.convergence(context),
    members: (context) => this.members(context),
    backendServers: (context) => this.backendServers(context),
    explain: (context) => this.explain(context),
    timeline: (context) => this.timeline(context),
    publish: (context) => this.publish(context),
    diff: (context) => this.diff(context),
  };

  constructor(services: Dependencies) {
    this.services = services;
  }

  /** @returns the Koa application that handles the requests */
  application(): Koa {
    const router = new Router();
    Object.entries(operations).forEach(([name, { method, path }]) => {
      router[method](path, (context) => this.handlers[name as OperationName](context));
    });
    router.get('/v1/openapi.json', (context) => {
      context.body = openApiDocument();
    });
    const application = new Koa();
    application.use((context, next) => this.identify(context, next));
    application.use(router.routes()).use(router.allowedMethods());
    return application;
  }

  /** Requires a token for all paths except the health check if tokens are set. */
  private async identify(context: Context, next: () => Promise<unknown>): Promise<void> {
    const identified = this.services.access.identify(context.get('authorization'));
    if (identified.isErr() && context.path !== HEALTH_PATH) {
      context.set('www-authenticate', 'Bearer');
      respondWithError(context, HttpStatus.Unauthorized, `nothing was done: ${identified.error}`);
      return;
    }
    context.state.team = identified.isOk() ? identified.value : undefined;
    await next();
  }

  private health(context: Context): void {
    const { tableStore, versionStore } = this.services;
    const ready = tableStore.current !== undefined && versionStore.blockedAt === undefined;
    context.status = ready ? HttpStatus.Ok : HttpStatus.ServiceUnavailable;
    context.body = {
      ready,
      version: versionStore.state?.version ?? 0,
      blockedAt: versionStore.blockedAt,
    };
  }

  private status(context: Context): void {
    const { callRouter, convergence, fleet, gate, identity, linkTable } = this.services;
    const { logFollower, readerRole, settings, versionStore } = this.services;
    context.body = {
      host: settings.host,
      zone: settings.zone,
      region: settings.region,
      incarnation: identity.incarnation,
      version: versionStore.state?.version ?? 0,
      through: versionStore.through,
      waitingFor: Math.max(0, linkTable.highestRecordOffset() - versionStore.through),
      blockedAt: versionStore.blockedAt,
      reader: readerRole.held,
      logReachable: logFollower.logReachable,
      hosts: fleet.present().length,
      peers: linkTable.open().flatMap((link) => link.host ?? []),
      callsInFlight: callRouter.inFlight,
      gateInFlight: gate.inFlight,
      zones: convergence.report(),
    };
  }

  private configuration(context: Context): void {
    const state = this.requireState(context);
    if (state !== undefined) {
      const { version, lines } = state;
      context.body = { version, text: textOf(state), lines };
    }
  }

  private history(context: Context): void {
    const state = this.requireState(context);
    if (state !== undefined) {
      context.body = { version: state.version, judgements: state.judgements };
    }
  }

  private convergence(context: Context): void {
    const { convergence, versionStore } = this.services;
    context.body = {
      version: versionStore.state?.version ?? 0,
      zones: convergence.report(),
      zonesKnown: this.countLiveNodesByZone(),
    };
  }

  /** Returns the zones with live hosts and the number of nodes expected in each. */
  private countLiveNodesByZone(): readonly { zone: string; nodes: number }[] {
    const counts = new Map<string, number>();
    this.services.fleet
      .present()
      .filter(({ state }) => state === HostState.LIVE)
      .forEach(({ zone }) => counts.set(zone, (counts.get(zone) ?? 0) + 1));
    return [...counts]
      .map(([zone, nodes]) => ({ zone, nodes }))
      .sort((left, right) => (left.zone < right.zone ? -1 : 1));
  }

  private members(context: Context): void {
    context.body = {
      members: this.services.fleet.present().map((member) => ({
        host: member.host,
        zone: member.zone,
        region: member.region,
        state: HostState[member.state]?.toLowerCase(),
        incarnation: Number(member.incarnation),
        sequence: member.sequence,
        address: member.address,
        callPort: member.callPort,
        adminPort: member.adminPort,
      })),
    };
  }

  private backendServers(context: Context): void {
    const { fleetView, tableStore } = this.services;
    const services = tableStore.current?.serviceNames() ?? [];
    context.body = {
      services: services.map((service) => ({
        service,
        backendServers: fleetView.endpointsOf(service),
      })),
    };
  }

  private explain(context: Context): void {
    const query = explainSchema.safeParse(context.query);
    if (!query.success) {
      respondWithError(
        context,
        HttpStatus.BadRequest,
        `nothing was explained, the query is invalid: ${z.prettifyError(query.error)}`,
      );
      return;
    }
    const state = this.requireState(context);
    if (state !== undefined) {
      const { method, path: target } = query.data;
      const request = { method, target, headers: context.headers };
      context.body = explain(state, this.services.fleetView, request);
    }
  }

  private timeline(context: Context): void {
    const { identity, settings, timeline } = this.services;
    const query = timelineSchema.safeParse(context.query);
    if (!query.success) {
      respondWithError(
        context,
        HttpStatus.BadRequest,
        `no events were returned, the query is invalid: ${z.prettifyError(query.error)}`,
      );
      return;
    }
    const { host, zone } = settings;
    const { incarnation } = identity;
    context.body = { host, zone, incarnation, events: timeline.eventsAfter(query.data.after) };
  }

  private async publish(context: Context): Promise<void> {
    const { clock, publisher } = this.services;
    const publication = await parseBody(context, publicationSchema);
    if (publication !== undefined) {
      const team = context.state.team as Team;
      const forbidden = this.findForbiddenLines(team, publication);
      if (forbidden.length > 0) {
        context.status = HttpStatus.Forbidden;
        const error = `nothing was published: ${forbidden[0]?.message}`;
        context.body = { error, lines: forbidden };
        return;
      }
      const { timeoutMs, author, ...rest } = publication;
      const signedAuthor = team === undefined ? author : `${author} (${team.team})`;
      const deadline = Deadline.after(clock, timeoutMs);
      const outcome = await publisher.publish({ ...rest, author: signedAuthor }, deadline);
      context.status = publishStatuses[outcome.result];
      context.body = outcome;
    }
  }

  /**
   * Returns the lines outside the scope of the team. Skips the check if the base is not in force,
   * because the publication is then a conflict and changes nothing.
   */
  private findForbiddenLines(
    team: Team,
    { base, text }: { readonly base: number; readonly text: string },
  ): readonly ForbiddenLine[] {
    const { state } = this.services.versionStore;
    if (state === undefined || state.version !== base) {
      return [];
    }
    const before = state.lines.map((line) => line.text);
    return findForbiddenLines(team, before, splitLines(text));
  }

  private async diff(context: Context): Promise<void> {
    const body = await parseBody(context, diffSchema);
    const state = body === undefined ? undefined : this.requireState(context);
    if (body !== undefined && state !== undefined) {
      const before = state.lines.map((line) => line.text);
      const difference = formatDifference(before, splitLines(body.text));
      context.body = { version: state.version, difference };
    }
  }

  private requireState(context: Context): ConfigurationState | undefined {
    const { state } = this.services.versionStore;
    if (state === undefined) {
      const error = 'this node holds no configuration yet; ask again, or ask another node';
      respondWithError(context, HttpStatus.ServiceUnavailable, error);
    }
    return state;
  }
}
