/** `lentillb show`: prints the rules in force, ready to be edited. */
import { AdminClient } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';
import { markBase } from '../ruleText.js';

export const show = defineCommand({
  usage: 'show',
  description: 'print the rules in force, with a first line that says which version they are',
  options: clientOptions(),
  schema: clientSchema,
  examples: ['lentillb show > my.rules'],
  run: async (_, { admin, timeout, json, token }, console) => {
    const configuration = await new AdminClient(admin, timeout, token).configuration();
    if (configuration.isErr()) {
      console.note(configuration.error);
      return ExitCode.Unreachable;
    }
    const { text, version } = configuration.value;
    const shown = json ? JSON.stringify(configuration.value) : markBase(text, version).trimEnd();
    console.print(shown);
    return ExitCode.Ok;
  },
});
