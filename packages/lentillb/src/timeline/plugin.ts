/** Registers the timeline. */
import { asClass } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import { EventKind } from './event.js';
import { Timeline } from './timeline.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly timeline: Timeline;
  }
}

plugins.register({
  name: 'timeline',
  needs: [],
  services: { timeline: asClass(Timeline).singleton() },
  start: ({ timeline }) => timeline.record(EventKind.NodeStarted),
});
