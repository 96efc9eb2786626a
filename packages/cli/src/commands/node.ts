/** `lentillb node`: runs a node until a signal stops it. */
import { runDaemon } from '@lentillb/node';
import { Option } from 'commander';
import { readSettings, settingDefinitions } from 'lentillb';
import { z } from 'zod';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';

const options = Object.values(settingDefinitions).map(({ flag, variable, description, schema }) => {
  const given = schema.safeParse(undefined);
  const fallback = given.success && String(given.data) !== '' ? ` (default ${given.data})` : '';
  return new Option(`--${flag} <value>`, `${description}${fallback}, or ${variable}`);
});

export const node = defineCommand({
  usage: 'node',
  description: 'run a node until SIGTERM or SIGINT, then stop it gracefully',
  options,
  schema: z.looseObject({}),
  examples: ['lentillb node --host h1 --zone muscat-a --log-url http://10.0.0.2:7500'],
  run: async (_, flags, console) => {
    const settings = readSettings(flags, process.env);
    if (settings.isErr()) {
      settings.error.forEach(({ message }) => console.note(message));
      return ExitCode.Usage;
    }
    await runDaemon(settings.value);
    return ExitCode.Ok;
  },
});
