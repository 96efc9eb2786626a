/** Registers the services that accept, route and forward calls. */
import { asClass } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import { Balancer } from './balancer.js';
import { CallListener } from './callListener.js';
import { CallRouter } from './callRouter.js';
import { EndpointStats } from './endpointStats.js';
import { GateClient } from './gateClient.js';
import { Limits } from './limits.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly balancer: Balancer;
    readonly callListener: CallListener;
    readonly callRouter: CallRouter;
    readonly endpointStats: EndpointStats;
    readonly gateClient: GateClient;
    readonly limits: Limits;
  }
}

/** Interval at which a stopping node checks whether runs on its host have ended, in milliseconds. */
const RUN_POLL_MS = 20;

plugins.register({
  name: 'routing',
  needs: ['gate', 'membership', 'metrics', 'routing-table'],
  services: {
    balancer: asClass(Balancer).singleton(),
    callListener: asClass(CallListener).singleton(),
    callRouter: asClass(CallRouter).singleton(),
    endpointStats: asClass(EndpointStats).singleton(),
    gateClient: asClass(GateClient).singleton(),
    limits: asClass(Limits).singleton(),
  },
  leave: ({ callListener }) => callListener.http.startClosing(),
  stop: async ({ callListener, clock, gate, gateClient }, deadline) => {
    // Runs on this host may make calls until they end.
    while (gate.inFlight > 0 && !deadline.expired()) {
      await clock.sleep(RUN_POLL_MS);
    }
    await callListener.http.close(deadline);
    await gateClient.close();
  },
});
