/** Registers the services that read, store and publish configuration versions. */
import { asClass } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import { LogFollower } from './logFollower.js';
import { Publisher } from './publisher.js';
import { SnapshotWriter } from './snapshotWriter.js';
import { VersionStore } from './versionStore.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly logFollower: LogFollower;
    readonly publisher: Publisher;
    readonly snapshotWriter: SnapshotWriter;
    readonly versionStore: VersionStore;
  }
}

plugins.register({
  name: 'distribution',
  needs: ['log', 'timeline'],
  services: {
    logFollower: asClass(LogFollower).singleton(),
    publisher: asClass(Publisher).singleton(),
    snapshotWriter: asClass(SnapshotWriter).singleton(),
    versionStore: asClass(VersionStore).singleton(),
  },
});
