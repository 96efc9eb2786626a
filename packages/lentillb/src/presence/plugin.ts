/** Registers what lets nodes find each other; the last part of a node to start. */
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
