/** Registers the gate and its listeners. */
import { asClass, asFunction } from 'awilix';
import { CallerPresence } from '../calls/callerPresence.js';
import { Deadline } from '../kernel/deadline.js';
import { plugins } from '../kernel/plugin.js';
import type { Services as NodeServices } from '../kernel/services.js';
import { PendingInputTracker } from '../utils/pendingInput.js';
import { BackendServerRegistry } from './backendServerRegistry.js';
import { CallGate } from './callGate.js';
import { GateListener } from './gateListener.js';
import { LocalListener } from './localListener.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly backendServerRegistry: BackendServerRegistry;
    readonly callerPresence: CallerPresence;
    readonly gate: CallGate;
    readonly gateListener: GateListener;
    readonly localListener: LocalListener;
  }
}

/**
 * The time for which a draining gate refuses calls before it closes, in milliseconds. Other nodes
 * learn meanwhile that the host is leaving, and a refusal tells them that the call was not run.
 */
const REFUSAL_PERIOD_MS = 2_000;
const POLL_INTERVAL_MS = 20;
/** The maximum time for closing connections at the end, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1_000;

plugins.register({
  name: 'gate',
  needs: ['mesh', 'routing-table'],
  services: {
    backendServerRegistry: asClass(BackendServerRegistry).singleton(),
    callerPresence: asFunction(
      ({ clock }: NodeServices) =>
        new CallerPresence({ clock, input: new PendingInputTracker(clock) }),
    ).singleton(),
    gate: asClass(CallGate).singleton(),
    gateListener: asClass(GateListener).singleton(),
    localListener: asClass(LocalListener).singleton(),
  },
  start: async ({ backendServerRegistry, gateListener, localListener, stopping }) => {
    await gateListener.listen();
    await localListener.listen();
    backendServerRegistry.removeExpired(stopping);
  },
  leave: ({ gate }) => gate.startDraining(),
  stop: async ({ backendServerRegistry, clock, gate, gateListener, localListener }, deadline) => {
    const refusalPeriod = deadline.atMost(REFUSAL_PERIOD_MS);
    while (!refusalPeriod.expired() || (gate.inFlight > 0 && !deadline.expired())) {
      await clock.sleep(POLL_INTERVAL_MS);
    }
    const closing = Deadline.after(clock, CLOSE_TIMEOUT_MS);
    await Promise.all([gateListener.http.close(closing), localListener.http.close(closing)]);
    await backendServerRegistry.close();
  },
});
