/** Options that several commands share, with their environment variables and checks. */
import { Option } from 'commander';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';

const DEFAULT_TIMEOUT_MS = 10_000;

/** Options of commands that ask a node. */
export const clientSchema = z.object({
  admin: z.url({ protocol: /^https?$/, error: 'expected http://IP:PORT' }),
  timeout: z.coerce.number({ error: 'expected milliseconds' }).int().min(1),
  json: z.boolean().default(false),
  token: z.string().min(1).optional(),
});

/** Checked options of commands that ask a node. */
export type ClientOptions = z.output<typeof clientSchema>;

/** @returns the options of commands that ask a node */
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
 * Checks options.
 *
 * @param schema - what they must be
 * @param given - what commander read
 * @returns the checked options, or one line a fault, naming flag and variable
 */
export function checkOptions<Schema extends z.ZodObject>(
  schema: Schema,
  given: unknown,
): Result<z.output<Schema>, readonly string[]> {
  const checked = schema.safeParse(given);
  if (checked.success) {
    return Ok(checked.data);
  }
  return Err(
    checked.error.issues.map(({ path, message }) => {
      const name = String(path[0]).replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
      const variable = `LENTILLB_${name.replaceAll('-', '_').toUpperCase()}`;
      return `--${name} (or ${variable}): ${message}`;
    }),
  );
}
