/** Encodes the datagrams of rollouts: a magic byte, then JSON that fits into one packet. */
import * as z from 'zod/mini';
import { boundedName, MAX_VERSION_LENGTH } from '../directory/announcement.js';
import type { EvidenceReport } from './evidence.js';
import type { RolloutStatement } from './rollout.js';
import { RolloutStage } from './rollout.js';

const MAGIC = 0x6f;
const HEAD_BYTES = 1;

/** The kinds of messages. */
export const RolloutMessageKind = {
  Statement: 'statement',
  Evidence: 'evidence',
  /** Asks for all statements, which a node needs that sees several versions of a service. */
  Question: 'question',
} as const;
export type RolloutMessageKind = (typeof RolloutMessageKind)[keyof typeof RolloutMessageKind];

export type RolloutMessage =
  | { readonly kind: 'statement'; readonly statement: RolloutStatement }
  | { readonly kind: 'evidence'; readonly report: EvidenceReport }
  | { readonly kind: 'question' };

const MAX_ROUTES = 32;
const LOGARITHM_DECIMALS = 2;

const count = z.int().check(z.nonnegative());
const milliseconds = z.number().check(z.nonnegative());
const version = z.string().check(z.maxLength(MAX_VERSION_LENGTH));

const statementSchema = z.object({
  service: boundedName,
  offset: count,
  targetVersion: version,
  baseVersion: version,
  durationMs: milliseconds,
  stage: z.enum(RolloutStage),
  elapsedMs: milliseconds,
  controller: boundedName,
});

const routeSchema = z.tuple([count, count, count, milliseconds, z.number(), milliseconds]);

const evidenceSchema = z.object({
  service: boundedName,
  offset: count,
  host: boundedName,
  run: count,
  version,
  stage: count,
  inFlight: count,
  answers: count,
  bad: count,
  stopped: z.boolean(),
  routes: z.array(routeSchema).check(z.maxLength(MAX_ROUTES)),
});

const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(RolloutMessageKind.Statement), statement: statementSchema }),
  z.object({ kind: z.literal(RolloutMessageKind.Evidence), report: evidenceSchema }),
  z.object({ kind: z.literal(RolloutMessageKind.Question) }),
]);

function toWire(message: RolloutMessage): unknown {
  if (message.kind !== RolloutMessageKind.Evidence) {
    return message;
  }
  const routes = message.report.routes.map((route) => [
    route.routeHash,
    route.answers,
    route.bad,
    Math.round(route.totalMs),
    Number(route.logSum.toFixed(LOGARITHM_DECIMALS)),
    Number(route.logSquares.toFixed(LOGARITHM_DECIMALS)),
  ]);
  return { ...message, report: { ...message.report, routes } };
}

function fromWire(message: z.infer<typeof messageSchema>): RolloutMessage {
  if (message.kind !== RolloutMessageKind.Evidence) {
    return message;
  }
  const routes = message.report.routes.map(
    ([routeHash, answers, bad, totalMs, logSum, logSquares]) => ({
      routeHash,
      answers,
      bad,
      totalMs,
      logSum,
      logSquares,
    }),
  );
  return { ...message, report: { ...message.report, routes } };
}

/**
 * Encodes a message.
 *
 * @param message - the message
 * @returns the datagram
 */
export function encodeRolloutMessage(message: RolloutMessage): Buffer {
  return Buffer.concat([Buffer.from([MAGIC]), Buffer.from(JSON.stringify(toWire(message)))]);
}

/**
 * Decodes a message.
 *
 * @param bytes - the datagram
 * @returns the message, or undefined if the datagram has none
 */
export function decodeRolloutMessage(bytes: Buffer): RolloutMessage | undefined {
  if (bytes[0] !== MAGIC) {
    return undefined;
  }
  try {
    const value: unknown = JSON.parse(bytes.subarray(HEAD_BYTES).toString('utf8'));
    const checked = messageSchema.safeParse(value);
    return checked.success ? fromWire(checked.data) : undefined;
  } catch {
    return undefined;
  }
}
