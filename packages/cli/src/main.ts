/** Entry point of the command line. */
import { processConsole } from './console.js';
import { runProgram } from './program.js';

process.exitCode = await runProgram(process.argv.slice(2), processConsole);
