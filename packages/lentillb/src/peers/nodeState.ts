/** What a node knows, as it gives it to another one that lacks it. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import * as z from 'zod/mini';
import type { ConfigurationChange } from '../configuration/configurationChange.js';
import type { Announcement } from '../directory/announcement.js';
import { announcementSchema } from '../directory/announcement.js';
import { Repetition } from '../rules/ruleForms.js';

const changeSchema = z.object({
  baseVersion: z.int(),
  version: z.int(),
  routes: z.array(
    z.object({
      name: z.string(),
      hostname: z.string(),
      pathPrefix: z.string(),
      destinations: z.array(z.object({ service: z.string(), weight: z.number() })),
      repetition: z.enum(Repetition),
      maxBackendServers: z.number(),
      timeoutMs: z.number(),
      targetLatencyMs: z.number(),
      priority: z.number(),
    }),
  ),
  removed: z.array(z.string()),
  limits: z.object({
    maxHeaderBytes: z.number(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
});

const nodeStateSchema = z.object({
  /** Left out where the asking node has a configuration as new. */
  change: z.optional(changeSchema),
  announcements: z.array(announcementSchema),
});

/** The knowledge of a node. */
export interface NodeState {
  /** What the asking node's configuration lacks. */
  readonly change: ConfigurationChange | undefined;
  readonly announcements: readonly Announcement[];
}

/**
 * @param state - the knowledge of a node
 * @returns its encoding
 */
export function encodeNodeState(state: NodeState): string {
  return JSON.stringify(state);
}

/**
 * @param text - the encoding of a node's knowledge
 * @returns the knowledge, or why it cannot be read
 */
export function decodeNodeState(text: string): Result<NodeState, string> {
  try {
    const checked = nodeStateSchema.safeParse(JSON.parse(text));
    if (!checked.success) {
      return Err(z.prettifyError(checked.error));
    }
    const { announcements, change } = checked.data;
    return Ok({ announcements, change });
  } catch (error) {
    return Err(`the state of the node is no JSON: ${(error as Error).message}`);
  }
}
