/** Entry point of the demonstration. */
import { processConsole } from '../console.js';
import { Demo } from './demo.js';

const DEFAULT_RULES = 'examples/muscat.rules';

const failedChecks = await new Demo(process.argv[2] ?? DEFAULT_RULES, processConsole).run();
processConsole.print(failedChecks === 0 ? 'all as promised' : `${failedChecks} NOT as promised`);
process.exitCode = failedChecks === 0 ? 0 : 1;
