/** Encodes and checks the announcement of a node and of the backend server on its host. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import * as z from 'zod/mini';

/** The states of a backend server. Only a ready one accepts requests. */
export const BackendServerState = {
  Ready: 'ready',
  /** The backend server announced its departure or is gone. */
  Leaving: 'leaving',
} as const;
export type BackendServerState = (typeof BackendServerState)[keyof typeof BackendServerState];

const backendServerSchema = z.object({
  /** The identity of this instance of the backend server. */
  id: z.string(),
  /** The start time in Unix milliseconds; a restart under the same identity has a later one. */
  startedAtMs: z.number(),
  service: z.string(),
  slots: z.number(),
  state: z.enum(BackendServerState),
});

/** A backend server of the host that ended while it ran a request that is blocked since. */
const interruptedRunSchema = z.object({
  contentHash: z.string().check(z.regex(/^[0-9a-f]{24}$/)),
  runHash: z.uint32(),
  endedAtMs: z.int().check(z.nonnegative()),
});

/** The schema of an announcement. */
export const announcementSchema = z.object({
  /** The address of the host. */
  host: z.string(),
  zone: z.string(),
  /** The address and port at which the gate of the host accepts requests. */
  gateAddress: z.string(),
  /** The address and port at which the node answers other nodes. */
  peerAddress: z.string(),
  /** The bandwidth of the host's link in megabits per second, if known. */
  linkMegabits: z.optional(z.number()),
  /** Increases with every restart of the node. */
  incarnation: z.number(),
  /** Increases with every announcement within one incarnation. */
  sequence: z.number(),
  backendServer: z.optional(backendServerSchema),
  interruptedRuns: z.optional(z.array(interruptedRunSchema)),
});

/** One instance of a backend server, as its node announces it. */
export type AnnouncedBackendServer = z.infer<typeof backendServerSchema>;

/** An interrupted run, as the node of its host announces it. */
export type AnnouncedInterruptedRun = z.infer<typeof interruptedRunSchema>;

/** The state of one host. */
export type Announcement = z.infer<typeof announcementSchema>;

/**
 * Encodes an announcement for the store and for other nodes.
 *
 * @param announcement - the announcement
 * @returns the JSON text
 */
export function encodeAnnouncement(announcement: Announcement): string {
  return JSON.stringify(announcement);
}

/**
 * Checks an announcement against the schema.
 *
 * @param value - a decoded JSON value
 * @returns the announcement, or why the value is invalid
 */
export function checkAnnouncement(value: unknown): Result<Announcement, string> {
  const checked = announcementSchema.safeParse(value);
  return checked.success ? Ok(checked.data) : Err(z.prettifyError(checked.error));
}

/**
 * Decodes an announcement.
 *
 * @param bytes - the JSON text, in UTF-8
 * @returns the announcement, or why the text is invalid
 */
export function decodeAnnouncement(bytes: Uint8Array): Result<Announcement, string> {
  try {
    return checkAnnouncement(JSON.parse(Buffer.from(bytes).toString('utf8')));
  } catch (error) {
    return Err(`the announcement is not valid JSON: ${(error as Error).message}`);
  }
}

/**
 * Compares two announcements of one host by incarnation, then by sequence.
 *
 * @param left - an announcement of a host
 * @param right - another one of the same host
 * @returns whether the first is newer than the second
 */
export function isNewer(left: Announcement, right: Announcement): boolean {
  return left.incarnation === right.incarnation
    ? left.sequence > right.sequence
    : left.incarnation > right.incarnation;
}
