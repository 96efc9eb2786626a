/** Lets two backends spoil a few of their answers: a header line has a space in place of a hyphen. */
import { nextAttempt, send } from '../lib/client.js';
import { runCase, sleep } from '../lib/deployment.js';
import { RequestLog } from '../lib/requestLog.js';

/** The number of times that processes end by themselves, and the machines, from which the rule is broken. */
const MAX_ENDS = 3;
const MIN_MACHINES = 2;
const RESTART_AFTER_MS = 1_000;
const RUN_MS = 20;
const REQUEST_PAUSE_MS = 16;
const HOST = 'letters.example';
/** One in so many answers is spoiled, for so long in milliseconds, so many times. */
const SPOILED_ONE_IN = 50;
const SPOILING_MS = 5_500;
const SPOILING_PAUSE_MS = 3_000;
const SPOILING_TIMES = 3;

const route = {
  hostname: HOST,
  'path-prefix': '/letters/',
  'route-type': 'idempotent',
  timeout: '600ms',
  'target-latency': '250ms',
  priority: 1,
  service: 'reading-room',
  'max-attempts': 2,
};

/** Returns an answer in which one byte is wrong: the name of a header field has a space in it. */
function spoiledAnswer(attempt) {
  return (
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Server-Seal: 1.${attempt}\r\n` +
    'Cache Control: no-store\r\nContent-Length: 8\r\nConnection: close\r\n\r\na letter'
  );
}

/** Starts the node again whenever it ends by itself, as the platform does, and counts how often. */
function keepRunning(machine, { ends, isOver, record }) {
  machine.child.once('exit', async (code, signal) => {
    if (isOver()) {
      return;
    }
    ends.set(machine.name, (ends.get(machine.name) ?? 0) + 1);
    record(`${machine.name}: the node ended by itself (code ${code}, signal ${signal})`);
    await sleep(RESTART_AFTER_MS);
    machine.startNode();
    keepRunning(machine, { ends, isOver, record });
  });
}

async function sendSteadily(machine, { isOver, outcomes, requests }) {
  while (!isOver()) {
    const attempt = nextAttempt();
    const request = { attempt, host: HOST, path: '/letters/1', method: 'GET', deadlineMs: 500 };
    requests.sent(attempt, machine.name);
    send(machine.outbound, request).then((answer) => {
      const { error, status = error } = answer;
      requests.answered(attempt, answer);
      outcomes.set(status, (outcomes.get(status) ?? 0) + 1);
    });
    await sleep(REQUEST_PAUSE_MS);
  }
}

await runCase(import.meta.url, async (deployment, hasTrouble) => {
  const { machines, record } = deployment;
  const requests = new RequestLog();
  let isSpoiling = false;
  let spoiled = 0;
  const runs = new Map();
  const plans = ['a', 'b', 'c', 'd', 'a', 'b', 'c', 'd'].map((zone, index) => ({
    zone,
    service: 'reading-room',
    run: ({ attempt }, response) => {
      requests.ran(attempt, machines[index].name);
      runs.set(index, (runs.get(index) ?? 0) + 1);
      const isSpoiled =
        isSpoiling && index < MIN_MACHINES && runs.get(index) % SPOILED_ONE_IN === 0;
      spoiled += isSpoiled ? 1 : 0;
      setTimeout(() => {
        if (isSpoiled) {
          response.socket?.end(spoiledAnswer(attempt));
          return;
        }
        response.writeHead(200, {
          'x-attempt-id': attempt,
          'x-server-seal': `1.${attempt}`,
          'cache-control': 'no-store',
        });
        response.end('a letter');
      }, RUN_MS);
    },
  }));
  await deployment.start(plans, { letters: route });
  let over = false;
  const isOver = () => over;
  const ends = new Map();
  const outcomes = new Map();
  machines.forEach((machine) => keepRunning(machine, { ends, isOver, record }));
  const traffic = machines.map((machine) => sendSteadily(machine, { isOver, outcomes, requests }));
  for (let time = 0; time < SPOILING_TIMES; time += 1) {
    await sleep(SPOILING_PAUSE_MS);
    isSpoiling = hasTrouble;
    record(`${MIN_MACHINES} backends spoil answers: ${isSpoiling}`);
    await sleep(SPOILING_MS);
    isSpoiling = false;
    record('no backend spoils answers');
  }
  await sleep(SPOILING_PAUSE_MS);
  over = true;
  await Promise.all(traffic);
  await sleep(1_000);
  requests.writeTo(record);
  record(`${spoiled} answers were spoiled`);
  outcomes.forEach((number, outcome) => record(`${number} requests were answered: ${outcome}`));
  if (!outcomes.has(200)) {
    throw new Error('no request was served');
  }
  const ended = [...ends].filter(([, number]) => number >= MAX_ENDS).map(([name]) => name);
  return ended.length >= MIN_MACHINES
    ? `FAULT: on ${ended.join(' and ')} the node ended by itself ${MAX_ENDS} times or more`
    : undefined;
});
