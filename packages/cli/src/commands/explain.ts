/** `lentillb explain`: shows which rules apply to a request. */
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
  description: 'show which rules apply to a request, who published them, and where it can be sent',
  options: [...clientOptions(), new Option('--header <name=value...>', 'a header of the request')],
  schema,
  examples: [
    'lentillb explain GET /letters/17',
    'lentillb explain GET /letters/17 --header x-trial=yes',
  ],
  run: async ([method = '', path = ''], { admin, timeout, json, header, token }, console) => {
    const client = new AdminClient(admin, timeout, token);
    const explanation = await client.explain(method, path, header);
    if (explanation.isErr()) {
      console.note(explanation.error);
      return ExitCode.Unreachable;
    }
    const { version, rules, services } = explanation.value;
    if (json) {
      console.print(JSON.stringify(explanation.value));
    } else if (rules.length === 0) {
      console.print(
        `version ${version} has no route for ${method} ${path}; it is answered with 404 and not run`,
      );
    } else {
      rules.forEach((rule) => {
        console.print(`line ${rule.line}: ${rule.text}`);
        const time = rule.acceptedAt === undefined ? '' : ` at ${rule.acceptedAt}`;
        console.print(`  published by ${rule.author} in version ${rule.version}${time}`);
      });
      services.forEach(({ service, backendServers }) => {
        const list = backendServers.map(({ id, host, zone }) => `${id} on ${host} (${zone})`);
        console.print(`${service}: ${list.join(', ') || 'no backend server is ready'}`);
      });
    }
    return rules.length === 0 ? ExitCode.Refused : ExitCode.Ok;
  },
});
