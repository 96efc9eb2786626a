/** What a node announces of itself and of the backend server beside it. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import * as z from 'zod/mini';

/** Whether a backend server takes requests. */
export const BackendServerState = {
  Ready: 'ready',
  /** It announced its departure, or is gone. */
  Leaving: 'leaving',
} as const;
export type BackendServerState = (typeof BackendServerState)[keyof typeof BackendServerState];

const backendServerSchema = z.object({
  /** The identity of this run of the backend server. */
  id: z.string(),
  /** When it started, in Unix milliseconds; a later run under the same identity has a later start. */
  startedAtMs: z.number(),
  service: z.string(),
  slots: z.number(),
  state: z.enum(BackendServerState),
});

/** The shape of an announcement. */
export const announcementSchema = z.object({
  /** The address of the host. */
  host: z.string(),
  zone: z.string(),
  /** Where the gate of the host takes requests, as address and port. */
  gateAddress: z.string(),
  /** Where the node answers other nodes, as address and port. */
  peerAddress: z.string(),
  /** What the host's link carries, in megabits a second, where that is known. */
  linkMegabits: z.optional(z.number()),
  /** Rises from run to run of the node. */
  incarnation: z.number(),
  /** Rises from announcement to announcement of one run. */
  sequence: z.number(),
  backendServer: z.optional(backendServerSchema),
});

/** One run of a backend server, as its node announces it. */
export type AnnouncedBackendServer = z.infer<typeof backendServerSchema>;

/** The newest state of one host. */
export type Announcement = z.infer<typeof announcementSchema>;

/**
 * @param announcement - an announcement
 * @returns its encoding for the store and for other nodes
 */
export function encodeAnnouncement(announcement: Announcement): string {
  return JSON.stringify(announcement);
}

/**
 * @param value - a decoded JSON value
 * @returns the announcement, or what is wrong with it
 */
export function checkAnnouncement(value: unknown): Result<Announcement, string> {
  const checked = announcementSchema.safeParse(value);
  return checked.success ? Ok(checked.data) : Err(z.prettifyError(checked.error));
}

/**
 * @param bytes - the encoding of an announcement
 * @returns the announcement, or why it cannot be read
 */
export function decodeAnnouncement(bytes: Uint8Array): Result<Announcement, string> {
  try {
    return checkAnnouncement(JSON.parse(Buffer.from(bytes).toString('utf8')));
  } catch (error) {
    return Err(`announcement is no JSON: ${(error as Error).message}`);
  }
}

/**
 * @param left - an announcement of a host
 * @param right - another one of the same host
 * @returns whether the first is newer than the second
 */
export function isNewer(left: Announcement, right: Announcement): boolean {
  return left.incarnation === right.incarnation
    ? left.sequence > right.sequence
    : left.incarnation > right.incarnation;
}
