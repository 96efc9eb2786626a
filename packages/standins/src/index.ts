/** In-process substitutes for the platform's log and for backend servers, for tests and `dev`. */
export { LogServer } from './logServer.js';
export { listenOnLoopback } from './loopback.js';
export { MemoryLog } from './memoryLog.js';
export type { LogCounters, LogFaults, MemoryLogOptions } from './memoryLog.js';
export { SampleBackendServer } from './sampleBackendServer.js';
export type { SampleBackendServerOptions } from './sampleBackendServer.js';
export { KeyedLogServer, StoreFault } from './keyedLogServer.js';
export { respondSuccessfully, ScriptedBackendServer } from './scriptedBackendServer.js';
export type { RequestHandler, Run } from './scriptedBackendServer.js';
export { Relay, RelayFault } from './relay.js';
export { spoiledAnswer } from './spoiledAnswers.js';
export { sendUnfinishedRequests, unfinishedRequests } from './unfinishedRequests.js';
export { GRACE_MS, heartbeatDocument, settingsDocument } from './nodeDocuments.js';
export type { HostAddresses } from './nodeDocuments.js';
export { takeAddress } from './takeAddress.js';
