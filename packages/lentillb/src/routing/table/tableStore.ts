/** The routing table in force on this node, exchanged whole when a version is accepted. */
import type { ConfigurationState } from '../../distribution/configurationState.js';
import { assertInvariant } from '../../kernel/invariant.js';
import type { Services } from '../../kernel/services.js';
import { RoutingTable } from './routingTable.js';

/** Holds the table in force. */
export class TableStore {
  private table: RoutingTable | undefined;

  constructor({ versionStore }: Pick<Services, 'versionStore'>) {
    if (versionStore.state !== undefined) {
      this.apply(versionStore.state);
    }
    versionStore.subscribe((state) => this.apply(state));
  }

  /** The table in force; undefined before the first version. */
  get current(): RoutingTable | undefined {
    return this.table;
  }

  private apply(state: ConfigurationState): void {
    const held = this.table?.version ?? 0;
    if (state.version === held) {
      return;
    }
    assertInvariant(state.version > held, `version ${state.version} is newer than ${held}`);
    this.table = new RoutingTable(state);
  }
}
