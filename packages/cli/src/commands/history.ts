/** `lentillb history`: the latest publications and what became of them. */
import { AdminClient } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';

export const history = defineCommand({
  usage: 'history',
  description: 'the latest publications and what became of them, oldest first',
  options: clientOptions(),
  schema: clientSchema,
  examples: ['lentillb history', 'lentillb history --json'],
  run: async (_, { admin, timeout, json, token }, console) => {
    const asked = await new AdminClient(admin, timeout, token).history();
    if (asked.isErr()) {
      console.note(asked.error);
      return ExitCode.Unreachable;
    }
    if (json) {
      console.print(JSON.stringify(asked.value));
      return ExitCode.Ok;
    }
    asked.value.judgements.forEach(({ offset, at, verdict, author, base, publishId, note }) => {
      const reason = note === '' ? '' : `: ${note}`;
      console.print(
        `${offset}  ${at}  ${verdict}  ${author}  from ${base}  id ${publishId}${reason}`,
      );
    });
    return ExitCode.Ok;
  },
});
