/** `lentillb status`: shows the state of a node and the version in force in each zone. */
import { AdminClient } from '../adminClient.js';
import { clientOptions, clientSchema } from '../cliOptions.js';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';

export const status = defineCommand({
  usage: 'status',
  description: 'show the state of a node and the version in force in each zone',
  options: clientOptions(),
  schema: clientSchema,
  examples: ['lentillb status', 'lentillb status --json --admin http://10.0.0.7:7403'],
  run: async (_, { admin, timeout, json, token }, console) => {
    const result = await new AdminClient(admin, timeout, token).status();
    if (result.isErr()) {
      console.note(result.error);
      return ExitCode.Unreachable;
    }
    const node = result.value;
    if (json) {
      console.print(JSON.stringify(node));
      return ExitCode.Ok;
    }
    console.print(`host ${node.host} in zone ${node.zone}, one of ${node.hosts} hosts`);
    console.print(`version ${node.version} in force, log read through offset ${node.through}`);
    if (node.waitingFor > 0) {
      console.print(`waiting for ${node.waitingFor} records that peers have`);
    }
    if (node.blockedAt !== undefined) {
      console.print(
        `STOPPED at offset ${node.blockedAt}: the format of the record is newer than this node; upgrade it`,
      );
    }
    const log = node.logReachable === false ? 'cannot be read' : 'can be read';
    console.print(node.reader ? `reads the log, which ${log}` : 'gets records from its peers');
    console.print(`linked to ${node.peers.join(', ') || 'no peer'}`);
    console.print(
      `calls in flight: ${node.callsInFlight} as the entry, ${node.gateInFlight} at the gate`,
    );
    node.zones.forEach(({ zone, nodes, lowestVersion }) =>
      console.print(`zone ${zone}: version ${lowestVersion} in force on all of ${nodes} nodes`),
    );
    return ExitCode.Ok;
  },
});
