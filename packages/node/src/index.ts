/** The node as a daemon, and as a part of another process. */
export { runDaemon } from './daemon.js';
export { RunningNode } from './runningNode.js';
export type { NodeOptions, NodePorts } from './runningNode.js';
