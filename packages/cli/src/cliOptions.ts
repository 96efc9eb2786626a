/** Options shared by several commands, with their environment variables and validation. */
import { Option } from 'commander';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';

const DEFAULT_TIMEOUT_MS = 10_000;

/** The schema of the options of commands that send requests to a node. */
export const clientSchema = z.object({
  admin: z.url({ protocol: /^https?$/, error: 'expected http://IP:PORT' }),
  timeout: z.coerce.number({ error: 'expected a number of milliseconds' }).int().min(1),
  json: z.boolean().default(false),
  token: z.string().min(1).optional(),
});

/** The validated options of commands that send requests to a node. */
export type ClientOptions = z.output<typeof clientSchema>;

/** @returns the options of commands that send requests to a node */
export function clientOptions(): readonly Option[] {
  return [
    new Option('--admin <url>', 'administration API of any node')
      .env('LENTILLB_ADMIN')
      .default('http://127.0.0.1:7403'),
    new Option('--timeout <ms>', 'how long to wait for the outcome')
      .env('LENTILLB_TIMEOUT')
      .default(DEFAULT_TIMEOUT_MS),
    new Option('--json', 'print one JSON object'),
    new Option('--token <token>', 'token of the administration API').env('LENTILLB_TOKEN'),
  ];
}

/**
 * Validates options.
 *
 * @param schema - the schema of the options
 * @param given - the options as parsed by commander
 * @returns the validated options, or one line per error that names the flag and the variable
 */
export function checkOptions<Schema extends z.ZodObject>(
  schema: Schema,
  given: unknown,
): Result<z.output<Schema>, readonly string[]> {
  const parsed = schema.safeParse(given);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  return Err(
    parsed.error.issues.map(({ path, message }) => {
      const name = String(path[0]).replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
      const variable = `LENTILLB_${name.replaceAll('-', '_').toUpperCase()}`;
      return `--${name} (or ${variable}): ${message}`;
    }),
  );
}
