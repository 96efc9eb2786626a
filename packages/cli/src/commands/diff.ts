/** `lentillb diff`: compares a rule file with the rules in force. */
import { AdminClient } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';
import { readEditedFile } from '../ruleText.js';

export const diff = defineCommand({
  usage: 'diff <file>',
  description: 'compare a rule file with the rules in force; exit with 1 if they differ',
  options: clientOptions(),
  schema: clientSchema,
  examples: ['lentillb diff my.rules'],
  run: async ([file = ''], { admin, timeout, json, token }, console) => {
    const edited = await readEditedFile(file);
    if (edited.isErr()) {
      console.note(edited.error);
      return ExitCode.Usage;
    }
    const comparison = await new AdminClient(admin, timeout, token).diff(edited.value.text);
    if (comparison.isErr()) {
      console.note(comparison.error);
      return ExitCode.Unreachable;
    }
    const { difference, version } = comparison.value;
    if (json) {
      console.print(JSON.stringify(comparison.value));
    } else {
      difference.forEach((line) => console.print(line));
      console.note(`compared with version ${version}: ${difference.length} lines differ`);
    }
    return difference.length === 0 ? ExitCode.Ok : ExitCode.Refused;
  },
});
