/** Entry point of the daemon: settings come from environment variables alone. */
import { readSettings } from 'lentillb';
import { runDaemon } from './daemon.js';

const EXIT_USAGE = 2;

const settings = readSettings({}, process.env);
if (settings.isErr()) {
  settings.error.forEach(({ message }) => process.stderr.write(`${message}\n`));
  process.exitCode = EXIT_USAGE;
} else {
  await runDaemon(settings.value);
}
