/** The command line, for use by other programs and tests. */
export { AdminClient, newPublishId } from './adminClient.js';
export type { Console } from './console.js';
export { DevFleet } from './dev/devFleet.js';
export type { DevFleetOptions } from './dev/devFleet.js';
export { NodeProcess } from './demo/nodeProcess.js';
export type { NodeProcessOptions } from './demo/nodeProcess.js';
export { updateSettingsTable } from './docs/settingsTable.js';
export { ExitCode } from './exitCode.js';
export { mergeEvents } from './mergeEvents.js';
export { runProgram } from './program.js';
