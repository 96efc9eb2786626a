/** Encodes the state that a node transfers to another node that is behind. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import * as z from 'zod/mini';
import type { ConfigurationChange } from '../configuration/configurationChange.js';
import { findConfigurationFault } from '../configuration/configurationFault.js';
import type { Announcement } from '../directory/announcement.js';
import { checkAnnouncement } from '../directory/announcement.js';
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
      anonymous: z.optional(z.boolean()),
    }),
  ),
  removed: z.array(z.string()),
  limits: z.object({
    maxHeaderBytes: z.number(),
    maxBodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
  customers: z.optional(
    z.object({
      changed: z.array(
        z.object({
          name: z.string(),
          keys: z.array(z.string()),
          priority: z.number(),
          ratePerSecond: z.number(),
          burst: z.number(),
        }),
      ),
      removed: z.array(z.string()),
      isComplete: z.boolean(),
    }),
  ),
});

const positionSchema = z.object({
  era: z.optional(z.int()),
  version: z.int(),
  nextOffset: z.int().check(z.nonnegative()),
});

const nodeStateSchema = z.object({
  /** Omitted if the requesting node has the same configuration version or a newer one. */
  change: z.optional(z.unknown()),
  announcements: z.array(z.unknown()),
  position: z.optional(z.unknown()),
});

/** The position in the store up to which the configuration has been read. */
export interface StorePosition {
  /** The era of the store that the offset belongs to; undefined if the store does not name it. */
  readonly era?: number | undefined;
  /** A version that is at least as new as all records before the offset. */
  readonly version: number;
  readonly nextOffset: number;
}

/** The configuration and the announcements that a node transfers to another. */
export interface NodeState {
  /** The difference to the configuration of the requesting node; undefined if it is up to date. */
  readonly change: ConfigurationChange | undefined;
  readonly announcements: readonly Announcement[];
  /** The position from which the receiver may read on; undefined if the node knows none. */
  readonly position?: StorePosition | undefined;
  /** Why parts of a received state are left out. */
  readonly rejected?: readonly string[];
}

function checkChange(value: unknown): Result<ConfigurationChange, string> {
  const checked = changeSchema.safeParse(value);
  if (!checked.success) {
    return Err(z.prettifyError(checked.error));
  }
  const { routes } = checked.data;
  // The node that decoded the configuration has compared its routes with its services.
  const services = routes.flatMap(({ destinations }) => destinations.map(({ service }) => service));
  const customers = checked.data.customers?.changed;
  const fault = findConfigurationFault({ ...checked.data, customers }, new Set(services));
  return fault === undefined ? Ok(checked.data) : Err(fault);
}

/**
 * Encodes the state of a node.
 *
 * @param state - the state
 * @returns the JSON text
 */
export function encodeNodeState(state: NodeState): string {
  return JSON.stringify(state);
}

/**
 * Decodes the state of a node. An invalid part is left out; the others hold.
 *
 * @param text - the JSON text
 * @returns the state, or why the text is invalid
 */
export function decodeNodeState(text: string): Result<NodeState, string> {
  try {
    const checked = nodeStateSchema.safeParse(JSON.parse(text));
    if (!checked.success) {
      return Err(z.prettifyError(checked.error));
    }
    const change = checked.data.change === undefined ? undefined : checkChange(checked.data.change);
    const announcements = checked.data.announcements.map(checkAnnouncement);
    const results = change === undefined ? announcements : [change, ...announcements];
    return Ok({
      change: change?.unwrapOr(undefined),
      announcements: announcements.flatMap((one) => (one.isOk() ? [one.value] : [])),
      position: positionSchema.safeParse(checked.data.position).data,
      rejected: results.flatMap((one) => (one.isErr() ? [one.error] : [])),
    });
  } catch (error) {
    return Err(`the state of the node is not valid JSON: ${(error as Error).message}`);
  }
}
