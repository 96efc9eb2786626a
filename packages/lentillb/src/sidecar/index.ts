/** Exports what a platform adapter needs to build a node. */
export { DEFAULT_QUOTA_TERMS } from '../allotments/quotaTerms.js';
export type { QuotaTerms } from '../allotments/quotaTerms.js';
export { ChunkBuffer } from '../utils/chunkBuffer.js';
export { onClosedUnanswered } from '../utils/closedUnanswered.js';
export { limitResponseBody, limitResponseHead } from '../utils/responseLimits.js';
export { afterPendingInput } from '../utils/pendingInput.js';
export type {
  CallerLimits,
  Customer,
  Destination,
  MeshConfiguration,
  MeshRoute,
} from '../configuration/meshConfiguration.js';
export { findConfigurationFault, MAX_TIMER_MS } from '../configuration/configurationFault.js';
export {
  boundedName,
  instanceName,
  MAX_VERSION_LENGTH,
  networkAddress,
  slotCount,
} from '../directory/announcement.js';
export type { ConfigurationPlace } from '../configuration/configurationFault.js';
export type {
  ConfigurationDocument,
  ConfigurationFormat,
} from '../inspection/configurationFormat.js';
export type { Finding } from '../inspection/finding.js';
export { FindingKind } from '../inspection/finding.js';
export { SystemClock } from '../kernel/clock.js';
export type { Clock } from '../kernel/clock.js';
export { Deadline } from '../kernel/deadline.js';
export { SeededRandomness } from '../kernel/randomness.js';
export type { Randomness } from '../kernel/randomness.js';
export { Descriptor } from '../observability/descriptorOutput.js';
export { HeapMonitor, readHeapUse } from '../observability/heapMonitor.js';
export { LineWriter, writeToDescriptor } from '../observability/lineWriter.js';
export { Repetition } from '../rules/ruleForms.js';
export { ConnectionPool } from '../serving/connectionPool.js';
export type { HeaderNames } from '../serving/headerNames.js';
export type { Heartbeat } from '../serving/localBackendServer.js';
export type { RolloutOrder } from '../rollouts/rollout.js';
export type { RolloutTerms } from '../rollouts/rollouts.js';
export type { RetryTerms } from '../serving/retryAllowance.js';
export type {
  KeyedBatch,
  KeyedRecord,
  KeyedStore,
  StatusStore,
  StoreEra,
  StoreFailure,
  WrittenRecord,
} from '../store/keyedStore.js';
export { StoreFailureKind, Topic } from '../store/keyedStore.js';
export { ServerAddress } from '../utils/addressListener.js';
export type { AddressEvents, AddressListener } from '../utils/addressListener.js';
export { runInBackground } from '../utils/background.js';
export { listenAt } from '../utils/listening.js';
export { decodeEscapes } from '../utils/decodeEscapes.js';
export { parseAddress } from '../utils/networkAddress.js';
export { readJson } from '../utils/readJson.js';
export type { TransferProgress } from '../utils/transferProgress.js';
export { describeAddressFailure } from './addressOpener.js';
export type { AddressFailure } from './addressOpener.js';
export { Sidecar } from './sidecar.js';
export type { SidecarOptions, SidecarServices } from './sidecarOptions.js';
