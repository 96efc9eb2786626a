/** `lentillb show`: prints the rules in force, for editing. */
import { AdminClient } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';
import { addBaseVersionLine } from '../ruleText.js';

export const show = defineCommand({
  usage: 'show',
  description: 'print the rules in force, with a first line that names their version',
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
    const output = json
      ? JSON.stringify(configuration.value)
      : addBaseVersionLine(text, version).trimEnd();
    console.print(output);
    return ExitCode.Ok;
  },
});
