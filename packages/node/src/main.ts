/** Entry point of the daemon. Reads its settings from environment variables only. */
import { startProcess } from 'lentillb/process';

const EXIT_CODE_USAGE = 2;

const startedProcess = startProcess('lentillb');
// Signals may come while the rest is loaded, so their handlers are set before.
const [{ readSettings }, { runDaemon }] = await Promise.all([
  import('lentillb'),
  import('./daemon.js'),
]);
const settings = readSettings({}, process.env);
if (settings.isErr()) {
  settings.error.forEach(({ message }) => process.stderr.write(`${message}\n`));
  process.exitCode = EXIT_CODE_USAGE;
  startedProcess.end.expect();
} else {
  await runDaemon(settings.value, startedProcess);
}
