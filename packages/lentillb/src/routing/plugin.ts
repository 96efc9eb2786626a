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
  leave: ({ callListener }) => callListener.http.stopAcceptingConnections(),
  stop: async ({ callListener, gateClient }, deadline) => {
    await callListener.http.close(deadline);
    await gateClient.close();
  },
});
