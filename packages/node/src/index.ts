/** Runs a node as a daemon or inside another process. */
export { runDaemon } from './daemon.js';
export { RunningNode } from './runningNode.js';
export type { NodeOptions, NodePorts } from './runningNode.js';
