/** Serves the HTTP API through which backend servers of this host announce and remove themselves. */
import Router from '@koa/router';
import Koa from 'koa';
import type { Context } from 'koa';
import { z } from 'zod';
import type { Services } from '../kernel/services.js';
import { HttpListener } from '../utils/httpListener.js';
import { readJson } from '../utils/readJson.js';
import type { LocalServer } from './backendServerRegistry.js';
import { ServerState } from './backendServerRegistry.js';

const MAX_BODY_BYTES = 16 * 1024;
const MAX_PORT = 65_535;
const MAX_SLOTS = 10_000;

const HttpStatus = { Ok: 200, BadRequest: 400, NotFound: 404 } as const;

const announcementSchema = z.strictObject({
  service: z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'expected a service name'),
  address: z.union([z.ipv4(), z.ipv6()]).default('127.0.0.1'),
  port: z.number().int().min(1).max(MAX_PORT),
  slots: z.number().int().min(1).max(MAX_SLOTS),
  state: z.enum(ServerState).default(ServerState.Ready),
});

type Dependencies = Pick<Services, 'announcer' | 'backendServerRegistry' | 'settings'>;

function notFound(context: Context): void {
  context.status = HttpStatus.NotFound;
  context.body = {
    error: `backend server "${context.params.id}" is not announced here; announce it with PUT`,
  };
}

/** Serves the API on the local port. */
export class LocalListener {
  readonly http: HttpListener;

  /** The port on which the API listens; 0 until it listens. */
  port = 0;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
    const router = new Router({ prefix: '/v1/backend-servers' });
    router.get('/', (context) => this.list(context));
    router.get('/:id', (context) => this.show(context));
    router.put('/:id', (context) => this.announce(context));
    router.delete('/:id', (context) => this.remove(context));
    const app = new Koa().use(router.routes()).use(router.allowedMethods());
    this.http = new HttpListener(app.callback());
  }

  /** Starts listening on the configured local port of the loopback address. */
  async listen(): Promise<void> {
    this.port = await this.http.listen(this.services.settings.localPort, '127.0.0.1');
  }

  private describe(server: LocalServer): object {
    const { id, service, address, port, slots, state, readyAt, admission } = server;
    const { inFlight, waiting } = admission;
    const { leaseMs } = this.services.settings;
    return { id, service, address, port, slots, state, readyAt, inFlight, waiting, leaseMs };
  }

  private list(context: Context): void {
    const servers = this.services.backendServerRegistry.all();
    context.body = { backendServers: servers.map((server) => this.describe(server)) };
  }

  private show(context: Context): void {
    const server = this.services.backendServerRegistry.get(context.params.id);
    if (server === undefined) {
      notFound(context);
      return;
    }
    context.body = this.describe(server);
  }

  private async announce(context: Context): Promise<void> {
    const body = await readJson(context.req, MAX_BODY_BYTES);
    const announced = body.isErr() ? undefined : announcementSchema.safeParse(body.value);
    if (body.isErr() || announced?.success !== true) {
      const reason = body.isErr() ? body.error : z.prettifyError(announced?.error as z.ZodError);
      context.status = HttpStatus.BadRequest;
      context.body = { error: `announcement of "${context.params.id}" was rejected: ${reason}` };
      return;
    }
    const server = this.services.backendServerRegistry.announce({
      id: context.params.id,
      ...announced.data,
    });
    context.body = this.describe(server);
  }

  private remove(context: Context): void {
    if (!this.services.backendServerRegistry.remove(context.params.id, 'the backend server left')) {
      notFound(context);
      return;
    }
    context.status = HttpStatus.Ok;
    context.body = { removed: context.params.id };
  }
}
