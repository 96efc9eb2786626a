/**
 * Defines the grammar of rule lines as a table: one form per kind of rule, made of literal words and
 * fields. The parser, the formatter and the help text are all derived from this table.
 */
import type { ValueCodec } from './valueCodecs.js';
import {
  durationCodec,
  headerNameCodec,
  headerValueCodec,
  integerBetween,
  nameCodec,
  oneOf,
  pathPatternCodec,
  percentCodec,
  portCodec,
} from './valueCodecs.js';

/** The HTTP methods that a route can name; `ANY` matches every method. */
export const RouteMethod = {
  Get: 'GET',
  Head: 'HEAD',
  Post: 'POST',
  Put: 'PUT',
  Patch: 'PATCH',
  Delete: 'DELETE',
  Options: 'OPTIONS',
  Any: 'ANY',
} as const;
export type RouteMethod = (typeof RouteMethod)[keyof typeof RouteMethod];

/** Whether a request that may have run may be sent again. */
export const Repetition = { Once: 'once', Repeat: 'repeat' } as const;
export type Repetition = (typeof Repetition)[keyof typeof Repetition];

/** The rank of a route's calls when not all calls can be served. */
export const Priority = { High: 'high', Normal: 'normal', Low: 'low' } as const;
export type Priority = (typeof Priority)[keyof typeof Priority];

/** Whether calls stay in their availability zone while it has capacity. */
export const ZonePreference = { Local: 'local', Any: 'any' } as const;
export type ZonePreference = (typeof ZonePreference)[keyof typeof ZonePreference];

/**
 * A value at a fixed position of a rule line: its name, and the codec that reads and formats it.
 */
export interface Field<Name extends string = string, Value = unknown> {
  readonly name: Name;
  readonly codec: ValueCodec<Value>;
}

/** A part of a form: a literal word or a field. */
export type FormPart = string | Field;

function field<Name extends string, Value>(
  name: Name,
  codec: ValueCodec<Value>,
): Field<Name, Value> {
  return { name, codec };
}

const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 100_000;
const MAX_RATE_PER_SECOND = 1_000_000;
const MAX_CONCURRENCY = 100_000;
const MAX_QUEUE = 100_000;
const MAX_ATTEMPTS = 10;

const method = field('method', oneOf(...Object.values(RouteMethod)));
const path = field('path', pathPatternCodec);
const rate = field('ratePerSecond', integerBetween('calls per second', 1, MAX_RATE_PER_SECOND));
const concurrency = field('concurrency', integerBetween('number of calls', 1, MAX_CONCURRENCY));
const queue = field('queue', integerBetween('queue length', 0, MAX_QUEUE));
const service = field('service', nameCodec);
const target = field('target', nameCodec);

/** The parts of every form, by kind of rule. */
export const ruleForms = {
  service: [
    'service',
    field('name', nameCodec),
    'port',
    field('port', portCodec),
    'slots',
    field('slots', integerBetween('number of slots', 1, MAX_SLOTS)),
    'connections',
    field('connections', integerBetween('number of connections', 1, MAX_CONNECTIONS)),
    'ramp',
    field('rampMs', durationCodec),
    'drain',
    field('drainMs', durationCodec),
  ],
  route: [
    'route',
    method,
    path,
    'to',
    service,
    'within',
    field('deadlineMs', durationCodec),
    field('repetition', oneOf(...Object.values(Repetition))),
    'priority',
    field('priority', oneOf(...Object.values(Priority))),
  ],
  group: [
    'group',
    field('name', nameCodec),
    'header',
    field('header', headerNameCodec),
    field('value', headerValueCodec),
  ],
  limitRoute: [
    'limit',
    'route',
    method,
    path,
    'rate',
    rate,
    'concurrency',
    concurrency,
    'queue',
    queue,
  ],
  limitGroup: [
    'limit',
    'group',
    field('group', nameCodec),
    'rate',
    rate,
    'concurrency',
    concurrency,
    'queue',
    queue,
  ],
  retry: [
    'retry',
    service,
    'attempts',
    field('attempts', integerBetween('number of attempts', 1, MAX_ATTEMPTS)),
    'budget',
    field('budgetPercent', percentCodec),
  ],
  splitWeight: ['split', service, 'weight', field('percent', percentCodec), 'to', target],
  splitHeader: [
    'split',
    service,
    'header',
    field('header', headerNameCodec),
    field('value', headerValueCodec),
    'to',
    target,
  ],
  zone: [
    'zone',
    service,
    field('preference', oneOf(...Object.values(ZonePreference))),
    'spill',
    field('spillPercent', percentCodec),
  ],
} as const satisfies Record<string, readonly FormPart[]>;

/** The kinds of rules: the keys of `ruleForms`. */
export type RuleKind = keyof typeof ruleForms;

type FieldsOf<Parts extends readonly FormPart[]> = {
  readonly [Part in Extract<Parts[number], Field> as Part['name']]: Part extends Field<
    string,
    infer Value
  >
    ? Value
    : never;
};

/** The comment of a rule: who requested it, and why. */
export interface RuleComment {
  readonly requester: string;
  readonly reason: string;
}

/** The values of one rule line, without its line number. */
export type RuleOf<Kind extends RuleKind> = FieldsOf<(typeof ruleForms)[Kind]> & {
  readonly kind: Kind;
  readonly comment: RuleComment;
};

/** A rule of any kind. */
export type Rule = { [Kind in RuleKind]: RuleOf<Kind> }[RuleKind];

/** @returns each form in the syntax of rule files, for help and documentation */
export function describeForms(): readonly string[] {
  return Object.values(ruleForms).map((parts: readonly FormPart[]) =>
    parts.map((part) => (typeof part === 'string' ? part : part.codec.label)).join(' '),
  );
}
