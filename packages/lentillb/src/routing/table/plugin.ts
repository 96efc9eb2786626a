/** Registers the routing table in force. */
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
    // Resolved here so that it follows the version store from the start.
    tableStore.current?.version.toString();
  },
});
