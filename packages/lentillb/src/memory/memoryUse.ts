/** Names what a node holds memory for, and shares the memory out among these uses. */

/** The uses of the memory that callers and backend servers can make a node hold. */
export const MemoryUse = {
  /** Open connections, with or without requests. */
  Connections: 'connections',
  /** Request heads that have not arrived completely. */
  Heads: 'heads',
  /** Requests in progress, without their bodies. */
  Requests: 'requests',
  /** Request bodies, also those that have not arrived completely. */
  Bodies: 'bodies',
  /** Answers that arrive, or wait for their receivers. */
  Answers: 'answers',
} as const;
export type MemoryUse = (typeof MemoryUse)[keyof typeof MemoryUse];

/** All uses. */
export const memoryUses: readonly MemoryUse[] = Object.values(MemoryUse);

/**
 * The share of the room that each use has for certain. The rest is for the use that needs it first.
 * That of connections holds as many as a host has descriptors for.
 */
export const certainShares: Readonly<Record<MemoryUse, number>> = {
  [MemoryUse.Connections]: 0.25,
  [MemoryUse.Heads]: 0.1,
  [MemoryUse.Requests]: 0.15,
  [MemoryUse.Bodies]: 0.15,
  [MemoryUse.Answers]: 0.15,
};
