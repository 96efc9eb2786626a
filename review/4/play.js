/** Kills all nodes after one has confirmed a departure that the store could not take. */
import { nextAttempt, send } from '../lib/client.js';
import { runCase, sleep } from '../lib/deployment.js';
import { RequestLog } from '../lib/requestLog.js';

const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;
/** How long a run takes, in milliseconds. */
const RUN_MS = 80;
/** The pause between two requests to each node, in milliseconds. */
const REQUEST_PAUSE_MS = 60;
/** The times of the trouble, in milliseconds; a backend may serve many seconds after its departure. */
const LEAVE_AFTER_MS = 1_500;
const KILL_AFTER_MS = 700;
const RESTART_AFTER_MS = 2_000;
const STORE_BACK_AFTER_MS = 400;
/** How long the departed backend serves after the last trouble: until machines are in touch, and a little. */
const END_AFTER_MS = CONTACT_MS + 220;
const WATCH_MS = 2_000;

const route = {
  hostname: 'letters.example',
  'path-prefix': '/letters/',
  'route-type': 'non_idempotent',
  timeout: '600ms',
  'target-latency': '250ms',
  priority: 1,
  service: 'postbag',
  'max-attempts': 2,
};

async function sendSteadily(machine, { answers, isOver, requests }) {
  while (!isOver()) {
    const sentAtMs = Date.now();
    const attempt = nextAttempt();
    const request = { attempt, host: 'letters.example', path: '/letters/1', method: 'POST' };
    requests.sent(attempt, machine.name);
    send(machine.outbound, { ...request, body: attempt, deadlineMs: 600 }).then((answer) => {
      requests.answered(attempt, answer);
      answers.push({ attempt, machine: machine.name, sentAtMs, ...answer });
    });
    await sleep(REQUEST_PAUSE_MS);
  }
}

await runCase(import.meta.url, async (deployment, hasTrouble) => {
  const { record, store } = deployment;
  const runs = [];
  const requests = new RequestLog();
  const plans = ['a', 'b', 'c', 'd', 'a', 'b', 'c', 'd'].map((zone, index) => ({
    zone,
    service: index < 4 ? 'postbag' : 'reading-room',
    run: ({ attempt }, response) => {
      runs.push({ attempt, index, atMs: Date.now() });
      requests.ran(attempt, deployment.machines[index].name);
      setTimeout(() => {
        response.writeHead(200, { 'x-attempt-id': attempt, 'x-server-seal': `1.${attempt}` });
        response.end('lodged');
      }, RUN_MS);
    },
  }));
  await deployment.start(plans, { letters: route });
  const [leaving] = deployment.machines;
  const answers = [];
  let over = false;
  const traffic = deployment.machines.map((machine) =>
    sendSteadily(machine, { answers, isOver: () => over, requests }),
  );
  await sleep(2_000);
  if (hasTrouble) {
    store.isDown = true;
    record('the store answers 503 from now on');
  }
  await sleep(LEAVE_AFTER_MS);
  const isConfirmed = await leaving.backend.leave();
  const confirmedAtMs = Date.now();
  record(`${leaving.name}: DELETE of its backend, confirmed: ${isConfirmed}`);
  let calmFromMs = 0;
  if (hasTrouble) {
    await sleep(KILL_AFTER_MS);
    await Promise.all(deployment.machines.map((machine) => machine.kill()));
    await sleep(RESTART_AFTER_MS);
    deployment.machines.forEach((machine) => machine.startNode());
    await sleep(STORE_BACK_AFTER_MS);
    store.isDown = false;
    calmFromMs = Date.now() + CONTACT_MS;
    record('the store answers again');
  }
  await sleep(END_AFTER_MS);
  leaving.backend.end();
  record(
    `${leaving.name}: its backend ended, ${Date.now() - confirmedAtMs} ms after the confirmation`,
  );
  await sleep(WATCH_MS);
  over = true;
  await Promise.all(traffic);
  await sleep(1_000);
  requests.writeTo(record);
  const sentAtMsByAttempt = new Map(answers.map(({ attempt, sentAtMs }) => [attempt, sentAtMs]));
  const late = runs.filter(
    ({ atMs, attempt, index }) =>
      index === 0 &&
      atMs > confirmedAtMs + DRAIN_MS &&
      sentAtMsByAttempt.get(attempt) >= calmFromMs,
  );
  const all = runs.filter(({ atMs, index }) => index === 0 && atMs > confirmedAtMs + DRAIN_MS);
  const counts = new Map();
  answers.forEach(({ error, status = error }) => counts.set(status, (counts.get(status) ?? 0) + 1));
  counts.forEach((number, outcome) => record(`${number} requests were answered: ${outcome}`));
  record(
    `${all.length} requests ran at the departed backend later than drain after the confirmation`,
  );
  record(`${late.length} of them were sent while all machines were in touch`);
  const answersByAttempt = new Map(answers.map((answer) => [answer.attempt, answer]));
  late.forEach(({ atMs, attempt }) => {
    const { error, machine, sentAtMs, status = error } = answersByAttempt.get(attempt);
    record(
      `request ${attempt}, sent to ${machine} ${sentAtMs - calmFromMs} ms after all were in touch, ` +
        `ran there ${atMs - confirmedAtMs} ms after the confirmation; answer: ${status}`,
    );
  });
  if (!isConfirmed || answers.length === 0) {
    throw new Error('the departure was not confirmed, or nothing was served');
  }
  return late.length > 0 ? `DRAIN: ${late.length} requests, by machines in touch` : undefined;
});
