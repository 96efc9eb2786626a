/** `lentillb timeline`: events of all nodes in one order. */
import { Option } from 'commander';
import type { TimelineEvent } from 'lentillb';
import { z } from 'zod';
import { AdminClient } from '../adminClient.js';
import type { Member } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';
import { mergeEvents } from '../mergeEvents.js';

const CONCURRENT_NODES = 32;

const schema = clientSchema.extend({
  zone: z.string().optional(),
  service: z.string().optional(),
  request: z.string().optional(),
  since: z.iso
    .datetime({ error: 'expected an ISO 8601 time such as 2026-12-04T10:00:00Z' })
    .optional(),
});

type Filter = z.output<typeof schema>;

function matches(event: TimelineEvent, { zone, service, request, since }: Filter): boolean {
  return (
    (zone === undefined || event.zone === zone) &&
    (service === undefined || event.service === service) &&
    (request === undefined || event.requestId === request) &&
    (since === undefined || event.at >= since)
  );
}

function printEvent({ at, host, zone, kind, ...subject }: TimelineEvent): string {
  const { offset, version, peer, service, backendServer, requestId, detail } = subject;
  const fields = { offset, version, peer, service, backendServer, requestId };
  const about = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`);
  return [at, `${zone}/${host}`, kind, ...about, detail ?? ''].join('  ').trimEnd();
}

async function collect(
  members: readonly Member[],
  timeout: number,
  token: string | undefined,
): Promise<{ events: TimelineEvent[][]; silent: string[] }> {
  const events: TimelineEvent[][] = [];
  const silent: string[] = [];
  const remaining = [...members];
  const work = async (): Promise<void> => {
    for (let member = remaining.pop(); member !== undefined; member = remaining.pop()) {
      const url = `http://${member.address}:${member.adminPort}`;
      const asked = await new AdminClient(url, timeout, token).events(0);
      if (asked.isOk()) {
        events.push([...asked.value.events]);
      } else {
        silent.push(member.host);
      }
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_NODES }, work));
  return { events, silent };
}

export const timeline = defineCommand({
  usage: 'timeline',
  description: 'events of all nodes in one order',
  options: [
    ...clientOptions(),
    new Option('--zone <zone>', 'only events of one availability zone'),
    new Option('--service <name>', 'only events about one service'),
    new Option('--request <id>', 'only events about one request'),
    new Option('--since <time>', 'only events since a time, ISO 8601'),
  ],
  schema,
  examples: ['lentillb timeline --service browse', 'lentillb timeline --request 8f14 --json'],
  run: async (_, options, console) => {
    const { admin, timeout, json, token } = options;
    const members = await new AdminClient(admin, timeout, token).members();
    if (members.isErr()) {
      console.note(members.error);
      return ExitCode.Unreachable;
    }
    const { events, silent } = await collect(members.value.members, timeout, token);
    const merged = mergeEvents(events).filter((event) => matches(event, options));
    if (json) {
      console.print(JSON.stringify({ events: merged, silent }));
    } else {
      merged.forEach((event) => console.print(printEvent(event)));
    }
    if (silent.length > 0) {
      console.note(`no answer from: ${silent.join(', ')}; their events are missing`);
    }
    return ExitCode.Ok;
  },
});
