/** Entry point of the daemon. Reads its settings from environment variables only. */
import { readSettings } from 'lentillb';
import { runDaemon } from './daemon.js';

const EXIT_CODE_USAGE = 2;

const settings = readSettings({}, process.env);
if (settings.isErr()) {
  settings.error.forEach(({ message }) => process.stderr.write(`${message}\n`));
  process.exitCode = EXIT_CODE_USAGE;
} else {
  await runDaemon(settings.value);
}
