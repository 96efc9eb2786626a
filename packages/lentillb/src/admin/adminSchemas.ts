/** Defines the schemas of the requests and responses of the administration API. */
import { z } from 'zod';
import { Verdict } from '../distribution/configurationRecord.js';
import { PublishResult } from '../distribution/publisher.js';
import { ruleForms } from '../rules/ruleForms.js';
import type { RuleKind } from '../rules/ruleForms.js';
import { EventKind } from '../timeline/event.js';

const MAX_PUBLISH_TIMEOUT_MS = 120_000;
const DEFAULT_PUBLISH_TIMEOUT_MS = 10_000;

const version = z.number().int().min(0);
const text = z.string();
const time = z.iso.datetime();
const kinds = Object.keys(ruleForms) as [RuleKind, ...RuleKind[]];

const zoneProgress = z.strictObject({ zone: text, nodes: z.number(), lowestVersion: version });

const endpoint = z.strictObject({
  id: text,
  host: text,
  zone: text,
  region: text,
  address: text,
  gatePort: z.number(),
  service: text,
  slots: z.number(),
  readyAt: time,
});

const serviceEndpoints = z.strictObject({ service: text, backendServers: z.array(endpoint) });

const fault = z.strictObject({ line: z.number(), column: z.number(), message: text });

/** The body of a request to publish a rule file. */
export const publicationSchema = z.strictObject({
  publishId: z.string().min(1).max(100),
  base: version,
  author: z.string().min(1).max(60),
  text,
  timeoutMs: z
    .number()
    .int()
    .min(1)
    .max(MAX_PUBLISH_TIMEOUT_MS)
    .default(DEFAULT_PUBLISH_TIMEOUT_MS),
});

/** The body of a request to compare a rule file with the one in force. */
export const diffSchema = z.strictObject({ text });

/** The query of a request for an explanation: the request to explain. */
export const explainSchema = z.object({
  method: z.string().regex(/^[A-Z]+$/, 'expected a method in capitals'),
  path: z.string().startsWith('/', 'expected a path that starts with "/"'),
});

/** The query of a request for events: the sequence number of the last event already read. */
export const timelineSchema = z.object({
  after: z.coerce.number({ error: 'expected the sequence of an event' }).int().min(0).default(0),
});

/** The body of an error response. */
export const errorSchema = z.strictObject({
  error: text,
  lines: z.array(z.strictObject({ text, message: text })).optional(),
});

/** The response schemas by the name of the operation. */
export const responseSchemas = {
  health: z.strictObject({ ready: z.boolean(), version, blockedAt: z.number().optional() }),
  status: z.strictObject({
    host: text,
    zone: text,
    region: text,
    incarnation: z.number(),
    version,
    through: z.number(),
    waitingFor: z.number(),
    blockedAt: z.number().optional(),
    reader: z.boolean(),
    logReachable: z.boolean().optional(),
    hosts: z.number(),
    peers: z.array(text),
    callsInFlight: z.number(),
    gateInFlight: z.number(),
    zones: z.array(zoneProgress),
  }),
  configuration: z.strictObject({
    version,
    text,
    lines: z.array(z.strictObject({ text, version, author: text })),
  }),
  history: z.strictObject({
    version,
    judgements: z.array(
      z.strictObject({
        offset: z.number(),
        publishId: text,
        verdict: z.enum(Verdict),
        author: text,
        base: version,
        at: time,
        note: text,
      }),
    ),
  }),
  convergence: z.strictObject({
    version,
    zones: z.array(zoneProgress),
    zonesKnown: z.array(z.strictObject({ zone: text, nodes: z.number() })),
  }),
  members: z.strictObject({
    members: z.array(
      z.strictObject({
        host: text,
        zone: text,
        region: text,
        state: z.enum(['live', 'leaving']),
        incarnation: z.number(),
        sequence: z.number(),
        address: text,
        callPort: z.number(),
        adminPort: z.number(),
      }),
    ),
  }),
  backendServers: z.strictObject({ services: z.array(serviceEndpoints) }),
  explain: z.strictObject({
    version,
    rules: z.array(
      z.strictObject({
        kind: z.enum(kinds),
        line: z.number(),
        text,
        requester: text,
        reason: text,
        version,
        author: text,
        acceptedAt: time.optional(),
      }),
    ),
    services: z.array(serviceEndpoints),
  }),
  timeline: z.strictObject({
    host: text,
    zone: text,
    incarnation: z.number(),
    events: z.array(
      z.strictObject({
        kind: z.enum(EventKind),
        host: text,
        zone: text,
        incarnation: z.number(),
        sequence: z.number(),
        at: time,
        monotonicMs: z.number(),
        offset: z.number().optional(),
        version: version.optional(),
        peer: text.optional(),
        service: text.optional(),
        backendServer: text.optional(),
        requestId: text.optional(),
        detail: text.optional(),
      }),
    ),
  }),
  publish: z.strictObject({
    result: z.enum(PublishResult),
    publishId: text,
    version: version.optional(),
    reason: text,
    faults: z.array(fault),
    difference: z.array(text),
  }),
  diff: z.strictObject({ version, difference: z.array(text) }),
} as const;

/** The name of an operation. */
export type OperationName = keyof typeof responseSchemas;
