/** `lentillb dev`: runs a fleet of nodes in one process without any set-up. */
import { Option } from 'commander';
import { parseRuleFile, formatFault } from 'lentillb';
import { request } from 'undici';
import { z } from 'zod';
import { AdminClient, newPublishId } from '../adminClient.js';
import { defineCommand } from '../command.js';
import type { Console } from '../console.js';
import { DevFleet } from '../dev/devFleet.js';
import { SAMPLE_RULES } from '../dev/sampleRules.js';
import { ExitCode } from '../exitCode.js';
import { readEditedFile } from '../ruleText.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
const PUBLISH_TIMEOUT_MS = 10_000;

const schema = z.object({
  rules: z.string().optional(),
  nodesPerZone: z.coerce.number({ error: 'expected a number' }).int().min(1).max(8),
  callPort: z.coerce.number({ error: 'expected a port' }).int().min(0),
  adminPort: z.coerce.number({ error: 'expected a port' }).int().min(0),
  localPort: z.coerce.number({ error: 'expected a port' }).int().min(0),
  once: z.boolean().default(false),
});

async function readRulesText(
  file: string | undefined,
  console: Console,
): Promise<string | undefined> {
  if (file === undefined) {
    return SAMPLE_RULES;
  }
  const edited = await readEditedFile(file);
  if (edited.isErr()) {
    console.note(edited.error);
    return undefined;
  }
  return edited.value.text;
}

async function sendSampleCall(fleet: DevFleet, text: string, console: Console): Promise<void> {
  const path = /^route GET (\S+)/m.exec(text)?.[1]?.replaceAll('*', 'sample') ?? '/';
  const url = `${fleet.nodes[0]?.callUrl}${path}`;
  const { statusCode, body } = await request(url);
  console.print(`GET ${url} -> ${statusCode} ${await body.text()}`);
}

async function waitForInterrupt(): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

export const dev = defineCommand({
  usage: 'dev',
  description: 'run a fleet in four zones in this process, with a log and sample backend servers',
  options: [
    new Option('--rules <file>', 'rule file to start with; default: a small sample'),
    new Option('--nodes-per-zone <n>', 'number of nodes in each zone').default(1),
    new Option('--call-port <port>', 'port of the first node for callers').default(7400),
    new Option('--admin-port <port>', 'port of the first node for operators').default(7403),
    new Option('--local-port <port>', 'port of the first node for backend servers').default(7404),
    new Option('--once', 'send one sample call and exit'),
  ],
  schema,
  examples: ['lentillb dev', 'lentillb dev --rules examples/riga.rules --once'],
  run: async (_, options, console) => {
    const { callPort, adminPort, localPort, nodesPerZone, once, rules } = options;
    const text = await readRulesText(rules, console);
    const parsed = text === undefined ? undefined : parseRuleFile(text);
    if (text === undefined || parsed === undefined || parsed.isErr()) {
      parsed?.mapErr((faults) =>
        faults.forEach((fault) => console.note(formatFault(rules ?? 'sample', fault))),
      );
      return ExitCode.Refused;
    }
    const services = parsed.value.rules.flatMap((rule) =>
      rule.kind === 'service' ? [rule.name] : [],
    );
    console.note('starting a fleet in four zones...');
    const firstNode = { callPort, adminPort, localPort };
    const zones = ZONES;
    const fleet = await DevFleet.start({
      zones,
      nodesPerZone,
      services,
      firstNode,
      logLevel: 'warn',
    });
    const admin = fleet.nodes[0]?.adminUrl ?? '';
    const published = await new AdminClient(admin, PUBLISH_TIMEOUT_MS).publish({
      text,
      base: 0,
      author: 'dev',
      publishId: newPublishId(),
      timeoutMs: PUBLISH_TIMEOUT_MS,
    });
    console.print(published.isOk() ? published.value.reason : published.error);
    await sendSampleCall(fleet, text, console);
    fleet.nodes.forEach((node) =>
      console.print(
        `${node.services.settings.host}: calls ${node.callUrl}, admin ${node.adminUrl}`,
      ),
    );
    if (!once) {
      console.note(`try: lentillb status --admin ${admin}; stop with Ctrl-C`);
      await waitForInterrupt();
    }
    await fleet.stop();
    return ExitCode.Ok;
  },
});
