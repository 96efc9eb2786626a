/** Registers the service that opens the call port when the node is ready. */
import { asClass } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import { Readiness } from './readiness.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly readiness: Readiness;
  }
}

plugins.register({
  name: 'readiness',
  needs: ['presence', 'routing'],
  services: { readiness: asClass(Readiness).singleton() },
  start: ({ readiness, stopping }) => {
    readiness.run(stopping);
  },
});
