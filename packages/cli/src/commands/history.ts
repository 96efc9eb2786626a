/** `lentillb history`: lists the latest publications and their outcomes. */
import { AdminClient } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';

export const history = defineCommand({
  usage: 'history',
  description: 'list the latest publications and their outcomes, oldest first',
  options: clientOptions(),
  schema: clientSchema,
  examples: ['lentillb history', 'lentillb history --json'],
  run: async (_, { admin, timeout, json, token }, console) => {
    const result = await new AdminClient(admin, timeout, token).history();
    if (result.isErr()) {
      console.note(result.error);
      return ExitCode.Unreachable;
    }
    if (json) {
      console.print(JSON.stringify(result.value));
      return ExitCode.Ok;
    }
    result.value.judgements.forEach(({ offset, at, verdict, author, base, publishId, note }) => {
      const reason = note === '' ? '' : `: ${note}`;
      console.print(
        `${offset}  ${at}  ${verdict}  ${author}  from ${base}  id ${publishId}${reason}`,
      );
    });
    return ExitCode.Ok;
  },
});
