/** Registers the administration API and its listener. */
import { asClass } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import { Access } from './access.js';
import { AdminApi } from './adminApi.js';
import { AdminListener } from './adminListener.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly access: Access;
    readonly adminApi: AdminApi;
    readonly adminListener: AdminListener;
  }
}

/** Limits how long open requests may take when the node stops, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

plugins.register({
  name: 'admin',
  needs: ['distribution', 'gate', 'membership', 'mesh', 'routing', 'timeline'],
  services: {
    access: asClass(Access).singleton(),
    adminApi: asClass(AdminApi).singleton(),
    adminListener: asClass(AdminListener).singleton(),
  },
  start: ({ adminListener }) => adminListener.listen(),
  stop: ({ adminListener }, deadline) =>
    adminListener.http.close(deadline.atMost(CLOSE_TIMEOUT_MS)),
});
