/** Registers the services that announce this host and hold the announcements of all hosts. */
import { asClass } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import { Announcer } from './announcer.js';
import { Fleet } from './fleet.js';
import { FleetView } from './fleetView.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly announcer: Announcer;
    readonly fleet: Fleet;
    readonly fleetView: FleetView;
  }
}

plugins.register({
  name: 'membership',
  needs: ['timeline'],
  services: {
    announcer: asClass(Announcer).singleton(),
    fleet: asClass(Fleet).singleton(),
    fleetView: asClass(FleetView).singleton(),
  },
});
