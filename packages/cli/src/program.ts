/** Parses the command line and runs a command. */
import { Command, CommanderError } from 'commander';
import { describeForms } from 'lentillb';
import type { CommandDefinition } from './command.js';
import { addCommand } from './command.js';
import { check } from './commands/check.js';
import { checkConfiguration } from './commands/checkConfiguration.js';
import { dev } from './commands/dev.js';
import { diff } from './commands/diff.js';
import { experiment } from './commands/experiment.js';
import { explain } from './commands/explain.js';
import { history } from './commands/history.js';
import { node } from './commands/node.js';
import { publish } from './commands/publish.js';
import { show } from './commands/show.js';
import { status } from './commands/status.js';
import { timeline } from './commands/timeline.js';
import { trace } from './commands/trace.js';
import type { Console } from './console.js';
import { ExitCode } from './exitCode.js';

const commands: readonly CommandDefinition[] = [
  check,
  checkConfiguration,
  show,
  diff,
  publish,
  status,
  explain,
  history,
  timeline,
  trace,
  node,
  dev,
  experiment,
];

const HELP = `
Rules, one per line, each ending in "# WHO: WHY":
${describeForms()
  .map((form) => `  ${form}`)
  .join('\n')}

Exit codes: 0 done, 1 refused or different, 2 wrong usage, 3 outcome unknown,
4 no node reached, 5 accepted but not yet in force everywhere.`;

/**
 * Runs the command line.
 *
 * @param args - the arguments after the program's name
 * @param console - the output of the command
 * @returns the exit code
 */
export async function runProgram(args: readonly string[], console: Console): Promise<ExitCode> {
  let code: ExitCode = ExitCode.Ok;
  const program = new Command('lentillb')
    .description('Publishes routing and traffic rules to a service mesh, and shows its state.')
    .addHelpText('after', HELP)
    .configureOutput({
      writeOut: (text) => console.print(text.trimEnd()),
      writeErr: (text) => console.note(text.trimEnd()),
    })
    .exitOverride()
    .showHelpAfterError('(see lentillb --help)');
  commands.forEach((definition) => {
    addCommand(program, definition, console, (result) => {
      code = result;
    });
  });
  try {
    await program.parseAsync([...args], { from: 'user' });
    return code;
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? ExitCode.Ok : ExitCode.Usage;
    }
    throw error;
  }
}
