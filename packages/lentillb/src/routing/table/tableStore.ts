/** Holds the routing table of this node and replaces it when a version is accepted. */
import type { ConfigurationState } from '../../distribution/configurationState.js';
import { assertInvariant } from '../../kernel/invariant.js';
import type { Services } from '../../kernel/services.js';
import { RoutingTable } from './routingTable.js';

/** Compiles each accepted configuration version into the current routing table. */
export class TableStore {
  private table: RoutingTable | undefined;

  constructor({ versionStore }: Pick<Services, 'versionStore'>) {
    if (versionStore.state !== undefined) {
      this.apply(versionStore.state);
    }
    versionStore.subscribe((state) => this.apply(state));
  }

  /** The current routing table; undefined before the first version. */
  get current(): RoutingTable | undefined {
    return this.table;
  }

  private apply(state: ConfigurationState): void {
    const currentVersion = this.table?.version ?? 0;
    if (state.version === currentVersion) {
      return;
    }
    assertInvariant(
      state.version > currentVersion,
      `version ${state.version} is newer than ${currentVersion}`,
    );
    this.table = new RoutingTable(state);
  }
}
