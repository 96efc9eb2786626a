/** Exports what a program needs from its first moment to its end. Loads little, so that it is early. */
export { LineLevel } from '../observability/directLog.js';
export { runInBackground } from '../utils/background.js';
export { EndCause, exitCodes } from './endCause.js';
export { startProcess } from './startedProcess.js';
export type { StartedProcess } from './startedProcess.js';
