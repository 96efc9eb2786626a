/** Listens for operators and their tools. */
import type { Services } from '../kernel/services.js';
import { HttpListener } from '../utils/httpListener.js';

type Needs = Pick<Services, 'adminApi' | 'announcer' | 'settings'>;

/** Listens on the administration port. */
export class AdminListener {
  /** The HTTP server under it. */
  readonly http: HttpListener;

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
    this.http = new HttpListener(services.adminApi.application().callback());
  }

  /** Starts listening on the administration port of the settings. */
  async listen(): Promise<void> {
    const { announcer, settings } = this.services;
    announcer.ports.adminPort = await this.http.listen(settings.adminPort, settings.address);
  }
}
