/** `lentillb publish`: publishes a rule file and waits until it is in force everywhere. */
import { Option } from 'commander';
import type { Clock, PublishOutcome } from 'lentillb';
import { Deadline, formatFault, PublishResult, SystemClock } from 'lentillb';
import { z } from 'zod';
import type { Convergence } from '../adminClient.js';
import { AdminClient, newPublishId } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import type { Console } from '../console.js';
import { ExitCode } from '../exitCode.js';
import { readEditedFile } from '../ruleText.js';

const POLL_MS = 100;

const schema = clientSchema.extend({
  author: z
    .string({ error: 'is required: name the author of the publication' })
    .trim()
    .min(1, 'is required'),
  base: z.coerce.number({ error: 'expected a version' }).int().min(0).optional(),
  publishId: z.string().min(1).optional(),
  wait: z.boolean().default(true),
});

/** Returns the zones in which a version is not yet in force on every node. */
function findZonesBehind({ zones, zonesKnown }: Convergence, version: number): readonly string[] {
  return zonesKnown
    .filter(({ zone, nodes }) => {
      const progress = zones.find((known) => known.zone === zone);
      return progress === undefined || progress.nodes < nodes || progress.lowestVersion < version;
    })
    .map(({ zone }) => zone);
}

async function waitUntilInForce(
  client: AdminClient,
  version: number,
  deadline: Deadline,
  clock: Clock,
  console: Console,
): Promise<readonly string[]> {
  let lastProgress = '';
  for (;;) {
    const convergence = await client.convergence();
    const behind = convergence.isOk() ? findZonesBehind(convergence.value, version) : ['unknown'];
    if (behind.length === 0 || deadline.expired()) {
      return behind;
    }
    const progress = `waiting for ${behind.join(', ')}`;
    if (progress !== lastProgress) {
      console.note(progress);
      lastProgress = progress;
    }
    await clock.sleep(POLL_MS);
  }
}

function reportRefusal(outcome: PublishOutcome, file: string, console: Console): void {
  console.note(`${outcome.result}: ${outcome.reason}`);
  outcome.faults.forEach((fault) => console.note(formatFault(file, fault)));
  outcome.difference.forEach((line) => console.note(line));
}

export const publish = defineCommand({
  usage: 'publish <file>',
  description: 'publish a rule file and wait until it is in force on every node',
  options: [
    ...clientOptions(),
    new Option('--author <name>', 'author of the publication').env('LENTILLB_AUTHOR'),
    new Option(
      '--base <version>',
      'version that the file was edited from; default: the version on its first line, or 0',
    ),
    new Option('--publish-id <id>', 'id of a publication to repeat because its outcome is unknown'),
    new Option('--no-wait', 'exit as soon as the version is accepted'),
  ],
  schema,
  examples: [
    'lentillb show > my.rules   # then edit my.rules',
    'lentillb publish my.rules --author salma',
  ],
  run: async ([file = ''], options, console) => {
    const clock = new SystemClock();
    const edited = await readEditedFile(file);
    if (edited.isErr()) {
      console.note(edited.error);
      return ExitCode.Usage;
    }
    const deadline = Deadline.after(clock, options.timeout);
    const client = new AdminClient(options.admin, options.timeout, options.token);
    const published = await client.publish({
      text: edited.value.text,
      base: options.base ?? edited.value.base ?? 0,
      author: options.author,
      publishId: options.publishId ?? newPublishId(),
      timeoutMs: options.timeout,
    });
    if (published.isErr()) {
      console.note(`${published.error}; the outcome is unknown, see "lentillb history"`);
      return ExitCode.Unknown;
    }
    const outcome = published.value;
    if (outcome.result !== PublishResult.Accepted || outcome.version === undefined) {
      reportRefusal(outcome, file, console);
      if (options.json) {
        console.print(JSON.stringify(outcome));
      }
      return outcome.result === PublishResult.Unknown ? ExitCode.Unknown : ExitCode.Refused;
    }
    const { version } = outcome;
    console.note(`accepted as version ${version}`);
    const behind = options.wait
      ? await waitUntilInForce(client, version, deadline, clock, console)
      : [];
    console.print(
      options.json
        ? JSON.stringify({ ...outcome, behind })
        : `version ${version} is ${behind.length === 0 && options.wait ? 'in force on every node' : 'accepted'}`,
    );
    if (behind.length > 0) {
      console.note(
        `not yet confirmed in: ${behind.join(', ')}; it cannot revert, see "lentillb status"`,
      );
      return ExitCode.NotEverywhere;
    }
    return ExitCode.Ok;
  },
});
