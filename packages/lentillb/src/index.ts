/** Exports the parts of lentillb that daemons, the command line and tests use. */
export type { Explanation } from './admin/explanation.js';
export {
  decodeRecord,
  encodeRecord,
  RecordKind,
  Verdict,
} from './distribution/configurationRecord.js';
export type { Judgement } from './distribution/configurationRecord.js';
export { EMPTY_STATE, judgeRecord } from './distribution/configurationState.js';
export { encodePublication, publishRecordOf } from './distribution/publication.js';
export type { RuleFileEdit } from './distribution/publication.js';
export { PublishResult } from './distribution/publisher.js';
export type { PublishOutcome } from './distribution/publisher.js';
export type { MeshConfiguration } from './configuration/meshConfiguration.js';
export { SystemClock } from './kernel/clock.js';
export type { Clock } from './kernel/clock.js';
export { Deadline } from './kernel/deadline.js';
export { InvariantError } from './kernel/invariant.js';
export { Kernel } from './kernel/kernel.js';
export { SeededRandomness } from './kernel/randomness.js';
export type { Randomness } from './kernel/randomness.js';
export type { Services } from './kernel/services.js';
export { readSettings, settingDefinitions } from './kernel/settings.js';
export type { GivenSettings, SettingFault, SettingName, Settings } from './kernel/settings.js';
export { compareConfigurations } from './inspection/compareConfigurations.js';
export type { ConfigurationFormat } from './inspection/configurationFormat.js';
export type { Difference, Finding } from './inspection/finding.js';
export { FindingKind } from './inspection/finding.js';
export { inspectConfiguration } from './inspection/inspectConfiguration.js';
export { HttpLog } from './log/httpLog.js';
export { FIRST_OFFSET, LogFailureKind, LogStream } from './log/log.js';
export type { Log, LogBatch, LogFailure, LogRange, LogRecord, ReadRequest } from './log/log.js';
export { LinkPurpose, READERS_PER_ZONE, computeTopology } from './membership/topology.js';
export type { HostLocation, TopologyStrategy, Topology } from './membership/topology.js';
export type { Endpoint } from './membership/fleetView.js';
export { ConnectDialer } from './mesh/peerDialer.js';
export type { PeerAddress, PeerDialer } from './mesh/peerDialer.js';
export { RoutingTable } from './routing/table/routingTable.js';
export { formatFault } from './rules/fault.js';
export type { Fault } from './rules/fault.js';
export { formatDifference } from './rules/lineEdits.js';
export { describeForms } from './rules/ruleForms.js';
export { parseRuleFile, splitLines } from './rules/ruleFile.js';
export type { RuleFile } from './rules/ruleFile.js';
export { EventKind } from './timeline/event.js';
export type { TimelineEvent } from './timeline/event.js';
export { HttpListener } from './utils/httpListener.js';
export { MessageQueue } from './utils/messageQueue.js';
export { readJson } from './utils/readJson.js';
export { Repetition } from './rules/ruleForms.js';
export { EmulatedFleet } from './emulation/emulatedFleet.js';
export type { RunOptions } from './emulation/emulatedFleet.js';
export type { ResultCounts } from './emulation/callerTally.js';
export { checkScenario } from './emulation/scenario.js';
export type { Scenario } from './emulation/scenario.js';
