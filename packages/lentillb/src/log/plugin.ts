/** Registers the client of the platform's log. */
import { asFunction } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import { HttpLog } from './httpLog.js';
import type { Log } from './log.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly log: Log;
  }
}

plugins.register({
  name: 'log',
  needs: [],
  services: {
    log: asFunction(({ settings }): Log => new HttpLog(settings.logUrl)).singleton(),
  },
  stop: ({ log }) => log.close(),
});
