/**
 * Defines the settings of a node. One table holds the flag, environment variable, schema and
 * description of each setting; the command line and the documentation for operators are generated
 * from it.
 */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';

/** The definition of a setting: its names, schema and description. */
export interface SettingDefinition<Schema extends z.ZodType = z.ZodType> {
  /** The command-line flag without its leading dashes. */
  readonly flag: string;
  /** The name of the environment variable. */
  readonly variable: string;
  readonly description: string;
  readonly schema: Schema;
}

function define<Schema extends z.ZodType>(
  flag: string,
  description: string,
  schema: Schema,
): SettingDefinition<Schema> {
  const variable = `LENTILLB_${flag.replaceAll('-', '_').toUpperCase()}`;
  return { flag, variable, description, schema };
}

const MAX_PORT = 65_535;

/** Accepts non-empty strings, since flags and environment variables are strings. */
const text = z.string().trim().min(1);
const port = z.coerce.number().int().min(0).max(MAX_PORT);
const milliseconds = z.coerce.number().int().min(1);
const addressList = z
  .string()
  .trim()
  .transform((list) => (list === '' ? [] : list.split(',').map((address) => address.trim())))
  .pipe(z.array(z.string().regex(/^[^\s:]+:\d+$/, 'expected IP:PORT[,IP:PORT...]')));

/** An access token of the administration API. */
export interface AccessToken {
  /** The team that owns the token. */
  readonly team: string;
  readonly token: string;
  /** The services whose rules the token may change; `*` allows all. */
  readonly services: readonly string[];
}

const tokenList = z
  .string()
  .trim()
  .transform((list) => (list === '' ? [] : list.split(',').map((entry) => entry.trim())))
  .pipe(
    z.array(
      z
        .string()
        .regex(
          /^[\w-]+:[\w-]{16,}:(?:\*|[a-z0-9-]+(?:\+[a-z0-9-]+)*)$/,
          'expected TEAM:TOKEN:SERVICE+SERVICE or TEAM:TOKEN:*, the token of 16 characters or more',
        )
        .transform((entry): AccessToken => {
          const [team = '', token = '', services = ''] = entry.split(':');
          return { team, token, services: services.split('+') };
        }),
    ),
  );

/** The settings of a node, by their name in the code. */
export const settingDefinitions = {
  host: define('host', 'name of this host, unique in the fleet', text),
  zone: define('zone', 'availability zone of this host', text),
  region: define('region', 'region of this host', text.default('region-1')),
  address: define('address', 'IP number other hosts reach this one by', text.default('127.0.0.1')),
  callPort: define('call-port', 'port for callers; 0 takes a free one', port.default(7400)),
  gatePort: define('gate-port', 'port for calls from other nodes', port.default(7401)),
  peerPort: define('peer-port', 'port for configuration between nodes', port.default(7402)),
  adminPort: define('admin-port', 'port of the administration API', port.default(7403)),
  localPort: define(
    'local-port',
    'port on which backend servers of this host announce themselves',
    port.default(7404),
  ),
  logUrl: define('log-url', "base URL of the platform's log", z.url({ protocol: /^https?$/ })),
  peers: define(
    'peers',
    'peer addresses to try when the log is down, IP:PORT[,IP:PORT...]',
    addressList.default([]),
  ),
  drainMs: define(
    'drain-ms',
    'how long work in flight may take when the node stops',
    milliseconds.default(10_000),
  ),
  leaseMs: define(
    'lease-ms',
    'how long a backend server stays announced without renewing',
    milliseconds.default(5_000),
  ),
  tokens: define(
    'tokens',
    'tokens of the administration API, TEAM:TOKEN:SERVICE+SERVICE or TEAM:TOKEN:* each; open to all without',
    tokenList.default([]),
  ),
  statsd: define(
    'statsd',
    'StatsD address IP:PORT for metrics; none are sent without it',
    z
      .string()
      .trim()
      .regex(/^([^\s:]+:\d+)?$/, 'expected IP:PORT')
      .default(''),
  ),
  logLevel: define(
    'log-level',
    'least level of log lines written',
    z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info'),
  ),
  seed: define(
    'seed',
    'seed of random choices; 0 takes one from the clock',
    z.coerce.number().int().min(0).default(0),
  ),
} as const;

type Definitions = typeof settingDefinitions;

/** The name of a setting in the code. */
export type SettingName = keyof Definitions;

/** The validated settings of a node. */
export type Settings = { readonly [Name in SettingName]: z.output<Definitions[Name]['schema']> };

/** Unvalidated settings from the command line or a test; undefined if not given. */
export type GivenSettings = Readonly<Partial<Record<SettingName, unknown>>>;

/** A setting that is missing or invalid. */
export interface SettingFault {
  readonly setting: SettingName;
  /** A one-line message: the flag, the variable, what is wrong and what is expected. */
  readonly message: string;
}

function describeFault(definition: SettingDefinition, given: unknown, issue: string): string {
  const shown = definition.flag === 'tokens' ? '(not shown)' : `"${String(given)}"`;
  const problem = given === undefined ? 'is required' : `cannot be ${shown}: ${issue}`;
  return `--${definition.flag} (or ${definition.variable}) ${problem}; it is the ${definition.description}`;
}

/**
 * Reads and validates the settings. A flag takes precedence over its environment variable; an empty
 * variable counts as not given.
 *
 * @param flags - the values of the flags, by setting name
 * @param environment - the environment variables
 * @returns the validated settings, or all faults
 */
export function readSettings(
  flags: GivenSettings,
  environment: Readonly<Record<string, string | undefined>>,
): Result<Settings, readonly SettingFault[]> {
  const faults: SettingFault[] = [];
  const checked: Record<string, unknown> = {};
  for (const [key, definition] of Object.entries(settingDefinitions)) {
    const setting = key as SettingName;
    const given = flags[setting] ?? (environment[definition.variable] || undefined);
    const outcome = definition.schema.safeParse(given);
    if (outcome.success) {
      checked[setting] = outcome.data;
    } else {
      const issue = outcome.error.issues[0]?.message ?? 'not valid';
      faults.push({ setting, message: describeFault(definition, given, issue) });
    }
  }
  return faults.length > 0 ? Err(faults) : Ok(checked as Settings);
}
