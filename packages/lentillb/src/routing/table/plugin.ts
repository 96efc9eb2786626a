/** Registers the store of the current routing table. */
import { asClass } from 'awilix';
import { plugins } from '../../kernel/plugin.js';
import { TableStore } from './tableStore.js';

declare module '../../kernel/services.js' {
  interface Services {
    readonly tableStore: TableStore;
  }
}

plugins.register({
  name: 'routing-table',
  needs: ['distribution'],
  services: { tableStore: asClass(TableStore).singleton() },
  start: ({ tableStore }) => {
    // Resolves the table store at the start, because it subscribes to the version store on creation.
    tableStore.current?.version.toString();
  },
});
