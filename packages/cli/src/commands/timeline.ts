/** `lentillb timeline`: shows the events of all nodes in one sequence. */
import { Option } from 'commander';
import type { TimelineEvent } from 'lentillb';
import { z } from 'zod';
import { AdminClient } from '../adminClient.js';
import type { Member } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';
import { mergeEvents } from '../mergeEvents.js';

const MAX_CONCURRENT_REQUESTS = 32;

const schema = clientSchema.extend({
  zone: z.string().optional(),
  service: z.string().optional(),
  request: z.string().optional(),
  since: z.iso
    .datetime({ error: 'expected an ISO 8601 time such as 2026-12-04T10:00:00Z' })
    .optional(),
});

type Filter = z.output<typeof schema>;

function matchesFilter(event: TimelineEvent, { zone, service, request, since }: Filter): boolean {
  return (
    (zone === undefined || event.zone === zone) &&
    (service === undefined || event.service === service) &&
    (request === undefined || event.requestId === request) &&
    (since === undefined || event.at >= since)
  );
}

function formatEvent({ at, host, zone, kind, ...subject }: TimelineEvent): string {
  const { offset, version, peer, service, backendServer, requestId, detail } = subject;
  const fields = { offset, version, peer, service, backendServer, requestId };
  const presentFields = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`);
  return [at, `${zone}/${host}`, kind, ...presentFields, detail ?? ''].join('  ').trimEnd();
}

async function collectEvents(
  members: readonly Member[],
  timeout: number,
  token: string | undefined,
): Promise<{ events: TimelineEvent[][]; silent: string[] }> {
  const events: TimelineEvent[][] = [];
  const silent: string[] = [];
  const remaining = [...members];
  const queryNodes = async (): Promise<void> => {
    for (let member = remaining.pop(); member !== undefined; member = remaining.pop()) {
      const url = `http://${member.address}:${member.adminPort}`;
      const result = await new AdminClient(url, timeout, token).events(0);
      if (result.isOk()) {
        events.push([...result.value.events]);
      } else {
        silent.push(member.host);
      }
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_REQUESTS }, queryNodes));
  return { events, silent };
}

export const timeline = defineCommand({
  usage: 'timeline',
  description: 'show the events of all nodes in one sequence',
  options: [
    ...clientOptions(),
    new Option('--zone <zone>', 'only events of one availability zone'),
    new Option('--service <name>', 'only events about one service'),
    new Option('--request <id>', 'only events about one request'),
    new Option('--since <time>', 'only events since a time (ISO 8601)'),
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
    const { events, silent } = await collectEvents(members.value.members, timeout, token);
    const merged = mergeEvents(events).filter((event) => matchesFilter(event, options));
    if (json) {
      console.print(JSON.stringify({ events: merged, silent }));
    } else {
      merged.forEach((event) => console.print(formatEvent(event)));
    }
    if (silent.length > 0) {
      console.note(`no answer from: ${silent.join(', ')}; their events are missing`);
    }
    return ExitCode.Ok;
  },
});
