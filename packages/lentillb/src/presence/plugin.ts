/** Registers the discovery of other nodes, which starts last because it announces this host. */
import { asClass } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import { Presence } from './presence.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly presence: Presence;
  }
}

plugins.register({
  name: 'presence',
  needs: ['admin', 'gate', 'mesh', 'routing'],
  services: { presence: asClass(Presence).singleton() },
  start: ({ announcer, presence, readerRole, stopping }) => {
    presence.onJoined(() => readerRole.update());
    announcer.start();
    presence.run(stopping);
  },
});
