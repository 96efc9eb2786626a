/** Defines the settings of a node and the services that it depends on. */
import type { Result } from 'ts-results-es';
import type { QuotaTerms } from '../allotments/quotaTerms.js';
import type { MeshConfiguration } from '../configuration/meshConfiguration.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { CollectGarbage } from '../memory/bufferCollector.js';
import type { LineLogger } from '../observability/decisionLog.js';
import type { RolloutTerms } from '../rollouts/rollouts.js';
import type { HeaderNames } from '../serving/headerNames.js';
import type { RetryTerms } from '../serving/retryAllowance.js';
import type { KeyedStore, StatusStore } from '../store/keyedStore.js';
import type { HostIdentity } from './storeAnnouncer.js';

/** The settings of a node. */
export interface SidecarOptions {
  readonly identity: HostIdentity;
  /** The address and port to which callers of this host send their requests. */
  readonly callerAddress: string;
  /** The address and port of the backend server on this host. */
  readonly backendServerAddress: string;
  /** The service of the backend server on this host. */
  readonly service: string;
  readonly headerNames: HeaderNames;
  readonly retryTerms: RetryTerms;
  /** Timeout of a planned stop, in milliseconds. */
  readonly stopTimeoutMs: number;
  /** The bound on the requests of customers; that of `DEFAULT_QUOTA_TERMS` by default. */
  readonly quotaTerms?: QuotaTerms;
  /** The memory limit of the host, in bytes; by default that of the smallest known host. */
  readonly memoryLimitBytes?: number;
  /** The key of the configuration among the operator's records. */
  readonly configurationKey: string;
  /** Decodes the operator's configuration. */
  readonly decodeConfiguration: (bytes: Uint8Array) => Result<MeshConfiguration, string>;
  /** How rollout orders are read; by default there are none. */
  readonly rolloutTerms?: RolloutTerms | undefined;
}

/** The services that a node depends on. */
export interface SidecarServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly store: KeyedStore;
  /** The store of the status of rollouts; without it, this node controls none. */
  readonly statusStore?: StatusStore;
  readonly logger: LineLogger;
  /** Runs the garbage collector, where the process may. */
  readonly collectGarbage?: CollectGarbage;
}
