/** `lentillb explain`: why a request goes where it goes. */
import { Option } from 'commander';
import { z } from 'zod';
import { AdminClient } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';

const HEADER = /^([\w-]+)=(.*)$/;

const schema = clientSchema.extend({
  header: z
    .array(z.string().regex(HEADER, 'expected NAME=VALUE'))
    .default([])
    .transform((list) =>
      Object.fromEntries(
        list.map((header) => {
          const [, name = '', value = ''] = HEADER.exec(header) ?? [];
          return [name.toLowerCase(), value];
        }),
      ),
    ),
});

export const explain = defineCommand({
  usage: 'explain <method> <path>',
  description: 'which rules decide about a request, who asked for them, and where it can go',
  options: [...clientOptions(), new Option('--header <name=value...>', 'a header of the request')],
  schema,
  examples: [
    'lentillb explain GET /letters/17',
    'lentillb explain GET /letters/17 --header x-trial=yes',
  ],
  run: async ([method = '', path = ''], { admin, timeout, json, header, token }, console) => {
    const client = new AdminClient(admin, timeout, token);
    const asked = await client.explain(method, path, header);
    if (asked.isErr()) {
      console.note(asked.error);
      return ExitCode.Unreachable;
    }
    const { version, rules, services } = asked.value;
    if (json) {
      console.print(JSON.stringify(asked.value));
    } else if (rules.length === 0) {
      console.print(
        `version ${version} has no route for ${method} ${path}; it answers 404, not run`,
      );
    } else {
      rules.forEach((rule) => {
        console.print(`line ${rule.line}: ${rule.text}`);
        const when = rule.acceptedAt === undefined ? '' : ` at ${rule.acceptedAt}`;
        console.print(`  published by ${rule.author} in version ${rule.version}${when}`);
      });
      services.forEach(({ service, backendServers }) => {
        const list = backendServers.map(({ id, host, zone }) => `${id} on ${host} (${zone})`);
        console.print(`${service}: ${list.join(', ') || 'no backend server is ready'}`);
      });
    }
    return rules.length === 0 ? ExitCode.Refused : ExitCode.Ok;
  },
});
