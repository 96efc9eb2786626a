import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect, it } from 'vitest';
import { Port } from '../../soak/dist/ports.js';

const HOOK = new URL('../../soak/dist/gateRelayHook.js', import.meta.url).href;

async function listeningPort(port: number): Promise<number> {
  const program = `
    const server = require('node:http').createServer();
    server.listen({ host: '127.62.0.1', port: ${port} }, () => {
      process.stdout.write(String(server.address().port));
      server.close();
    });`;
  const args = ['--import', HOOK, '--eval', program];
  const { stdout } = await promisify(execFile)(process.execPath, args);
  return Number(stdout);
}

it('should let only the gate of a node listen behind its relay', async () => {
  expect(await listeningPort(Port.Inbound)).toBe(Port.BehindRelay);
  expect(await listeningPort(Port.Outbound)).toBe(Port.Outbound);
});
