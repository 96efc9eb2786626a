/** Entry point of the demonstration. */
import { processConsole } from '../console.js';
import { Demo } from './demo.js';

const DEFAULT_RULES = 'examples/muscat.rules';

const mistakes = await new Demo(process.argv[2] ?? DEFAULT_RULES, processConsole).run();
processConsole.print(mistakes === 0 ? 'all as promised' : `${mistakes} NOT as promised`);
process.exitCode = mistakes === 0 ? 0 : 1;
