/** Adds a host to a fleet whose gate other nodes reach through a relay. */
import { Relay } from '@lentillb/standins';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { vi } from 'vitest';
import { freeAddress } from './freeAddress.js';
import type { FleetHost, SidecarFleet } from './sidecarFleet.js';

/** A host and the relay before its gate. */
export interface RelayedHost {
  readonly host: FleetHost;
  readonly relay: Relay;
}

/**
 * @param fleet - the fleet to add the host to
 * @param name - the name of the host
 * @param service - the service of its backend server
 * @param delayMs - the delay of each chunk under the fault `delay` of the relay, in milliseconds
 * @returns the host and its relay
 */
export async function addRelayedHost(
  fleet: SidecarFleet,
  name: string,
  service: string,
  delayMs = 0,
): Promise<RelayedHost> {
  const gateAddress = await freeAddress();
  const relay = new Relay(fleet.clock, () => gateAddress, delayMs);
  const at = vi.spyOn(CallerListener.prototype, 'at');
  // The first listener that a node creates is that of its gate.
  at.mockImplementationOnce(function listenBehindRelay(
    this: CallerListener,
    use: string,
    address: string,
  ) {
    at.mockRestore();
    const behindRelay = this.at(use, gateAddress);
    return {
      use,
      address,
      open: async (events) => {
        await relay.listen(address);
        return behindRelay.open(events);
      },
      close: () => behindRelay.close(),
    };
  });
  return { host: await fleet.addHost(name, service), relay };
}
