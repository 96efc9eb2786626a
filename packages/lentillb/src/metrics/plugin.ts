/** Registers the StatsD client. */
import { asClass } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import { Metrics } from './metrics.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly metrics: Metrics;
  }
}

plugins.register({
  name: 'metrics',
  needs: [],
  services: { metrics: asClass(Metrics).singleton() },
  stop: ({ metrics }) => metrics.close(),
});
