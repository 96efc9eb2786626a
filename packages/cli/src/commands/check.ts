/** `lentillb check`: checks a rule file without a connection to a node. */
import { Option } from 'commander';
import { parseRuleFile, formatFault } from 'lentillb';
import { z } from 'zod';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';
import { readEditedFile } from '../ruleText.js';

export const check = defineCommand({
  usage: 'check <file>',
  description: 'check a rule file; print its errors, or nothing if there are none',
  options: [new Option('--json', 'print one JSON object')],
  schema: z.object({ json: z.boolean().default(false) }),
  examples: ['lentillb check examples/muscat.rules', 'lentillb check --json my.rules'],
  run: async ([file = ''], { json }, console) => {
    const edited = await readEditedFile(file);
    if (edited.isErr()) {
      console.note(edited.error);
      return ExitCode.Usage;
    }
    const parsed = parseRuleFile(edited.value.text);
    const removedLines = edited.value.base === undefined ? 0 : 1;
    const faults = (parsed.isErr() ? parsed.error : []).map((fault) => ({
      ...fault,
      line: fault.line + removedLines,
    }));
    if (json) {
      console.print(JSON.stringify({ file, faults }));
    } else {
      faults.forEach((fault) => console.print(formatFault(file, fault)));
    }
    return faults.length === 0 ? ExitCode.Ok : ExitCode.Refused;
  },
});
