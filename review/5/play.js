/** Lets one backend fail part of its requests with 503 after it has run them. */
import { nextAttempt, send } from '../lib/client.js';
import { runCase, sleep } from '../lib/deployment.js';
import { RequestLog } from '../lib/requestLog.js';

/** The statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);
/** The part of its requests that the failing backend fails, and for how long, in milliseconds. */
const FAILING_PART = 0.45;
const FAILING_MS = 6_000;
const RUN_MS = 40;
const REQUEST_PAUSE_MS = 50;
const HOST = 'letters.example';

const route = {
  hostname: HOST,
  'path-prefix': '/letters/',
  'route-type': 'non_idempotent',
  timeout: '600ms',
  'target-latency': '250ms',
  priority: 1,
  service: 'postbag',
  'max-attempts': 2,
};

await runCase(import.meta.url, async (deployment, hasTrouble) => {
  const { machines, record } = deployment;
  const runs = new Map();
  const requests = new RequestLog();
  let isFailing = false;
  let share = 0;
  const run = (index) => (request, response) => {
    const { attempt, body } = request;
    runs.set(attempt, { letter: body.toString('utf8'), machine: machines[index].name });
    requests.ran(attempt, machines[index].name);
    share += index === 0 && isFailing ? FAILING_PART : 0;
    const fails = share >= 1;
    share -= fails ? 1 : 0;
    setTimeout(() => {
      // No `X-Not-Executed`: the letter is lodged, and only what comes after it has failed.
      response.writeHead(fails ? 503 : 200, {
        'x-attempt-id': attempt,
        'x-server-seal': `1.${attempt}`,
      });
      response.end(fails ? 'lodged, but the index could not be updated' : 'lodged');
    }, RUN_MS);
  };
  const plans = ['a', 'b', 'c', 'd', 'a', 'b', 'c', 'd'].map((zone, index) => ({
    zone,
    service: 'postbag',
    run: run(index),
  }));
  await deployment.start(plans, { letters: route });
  const broken = [];
  const sendLetter = async ({ name, outbound }, letter) => {
    const submit = async () => {
      const attempt = nextAttempt();
      const request = { attempt, body: letter, host: HOST, path: '/letters/', method: 'POST' };
      requests.sent(attempt, name);
      const answer = await send(outbound, { ...request, deadlineMs: 600 });
      requests.answered(attempt, answer);
      return { attempt, ...answer };
    };
    const { attempt, headers, status } = await submit();
    if (!PROMISES.has(status)) {
      return;
    }
    // The client was promised that it has not run, so it sends the letter once more.
    const { attempt: second } = await submit();
    if (runs.has(attempt)) {
      broken.push(attempt);
      record(
        `request ${attempt} (${letter}) ran at ${runs.get(attempt).machine}, and its client got ${status} ` +
          `(seal: ${headers['x-server-seal']}); sent again as ${second}, it ran: ${runs.has(second)}`,
      );
    }
  };
  isFailing = hasTrouble;
  record(`one of ${machines.length} backends fails part of its requests: ${hasTrouble}`);
  const sent = [];
  for (const untilMs = Date.now() + FAILING_MS; Date.now() < untilMs;) {
    sent.push(
      ...machines.map((machine) => sendLetter(machine, `letter ${sent.length} ${machine.name}`)),
    );
    await sleep(REQUEST_PAUSE_MS);
  }
  isFailing = false;
  await Promise.all(sent);
  requests.writeTo(record);
  const lodged = new Map();
  runs.forEach(({ letter }) => lodged.set(letter, (lodged.get(letter) ?? 0) + 1));
  const doubled = [...lodged.values()].filter((number) => number > 1).length;
  record(`${sent.length} letters sent, ${lodged.size} lodged, ${doubled} of them twice`);
  if (lodged.size === 0) {
    throw new Error('no letter was lodged');
  }
  return broken.length > 0
    ? `REFUSED: ${broken.length} requests that ran were answered with a promise that they had not`
    : undefined;
});
