/** The definition of commands, and their registration with commander. */
import type { Command, Option } from 'commander';
import type { z } from 'zod';
import type { ExitCode } from './exitCode.js';
import type { Console } from './console.js';
import { ExitCode as codes } from './exitCode.js';
import { checkOptions } from './cliOptions.js';

/** A command of the command line. */
export interface CommandDefinition<Schema extends z.ZodObject = z.ZodObject> {
  /** The name and the arguments, in commander's syntax. */
  readonly usage: string;
  readonly description: string;
  readonly options: readonly Option[];
  readonly schema: Schema;
  readonly examples: readonly string[];
  /**
   * Runs the command.
   *
   * @param args - the arguments of the command
   * @param options - the validated options
   * @param console - the output of the command
   * @returns the exit code
   */
  run(args: readonly string[], options: z.output<Schema>, console: Console): Promise<ExitCode>;
}

/**
 * Checks at compile time that the options of `run` match the schema.
 *
 * @param definition - a command
 * @returns the same command
 */
export function defineCommand<Schema extends z.ZodObject>(
  definition: CommandDefinition<Schema>,
): CommandDefinition {
  return definition;
}

/**
 * Adds a command to a program.
 *
 * @param program - the program
 * @param definition - the command
 * @param console - the output of the command
 * @param finish - called with the exit code of the command
 */
export function addCommand(
  program: Command,
  definition: CommandDefinition,
  console: Console,
  finish: (code: ExitCode) => void,
): void {
  const { usage, description, options, schema, examples } = definition;
  const command = program.command(usage).description(description);
  options.forEach((option) => command.addOption(option));
  if (examples.length > 0) {
    command.addHelpText('after', `\nExamples:\n${examples.map((line) => `  ${line}`).join('\n')}`);
  }
  command.action(async () => {
    const validated = checkOptions(schema, command.opts());
    if (validated.isErr()) {
      validated.error.forEach((line) => console.note(line));
      finish(codes.Usage);
      return;
    }
    finish(await definition.run(command.args, validated.value, console));
  });
}
