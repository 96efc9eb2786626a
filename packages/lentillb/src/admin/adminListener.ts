/** Starts the HTTP server of the administration API. */
import type { Services } from '../kernel/services.js';
import { HttpListener } from '../utils/httpListener.js';

type Dependencies = Pick<Services, 'adminApi' | 'announcer' | 'settings'>;

/** Serves the administration API on its port. */
export class AdminListener {
  /** The underlying HTTP server. */
  readonly http: HttpListener;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
    this.http = new HttpListener(services.adminApi.application().callback());
  }

  /** Starts listening on the administration port of the settings. */
  async listen(): Promise<void> {
    const { announcer, settings } = this.services;
    announcer.ports.adminPort = await this.http.listen(settings.adminPort, settings.address);
  }
}
