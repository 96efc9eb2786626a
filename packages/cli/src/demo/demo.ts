/** The demonstration: publishes rules to a fleet of separate processes and sends calls to it. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { LogServer, MemoryLog, SampleBackendServer } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import type { Clock } from 'lentillb';
import { request } from 'undici';
import { AdminClient } from '../adminClient.js';
import type { Console } from '../console.js';
import { ExitCode } from '../exitCode.js';
import { runProgram } from '../program.js';
import { NodeProcess } from './nodeProcess.js';

const ZONES = ['muscat-a', 'muscat-b', 'muscat-c', 'muscat-d'];
const SERVICES = ['browse', 'intake', 'decisions', 'browse-next'];
const NODES_PER_ZONE = 2;
const RETENTION_MS = 60 * 60 * 1_000;
const APPENDS_PER_SECOND = 300;
const SLOTS_PER_SERVER = 12;
const POLL_MS = 100;
const READY_TIMEOUT_MS = 20_000;
const CLIENT_TIMEOUT_MS = 5_000;

const HttpStatus = { Ok: 200, NotFound: 404 } as const;

/** Runs each step of the demonstration and counts the checks that fail. */
export class Demo {
  private readonly clock: Clock = new SystemClock();

  private readonly log = new MemoryLog({
    clock: this.clock,
    retentionMs: RETENTION_MS,
    appendsPerSecond: APPENDS_PER_SECOND,
  });

  private readonly logServer = new LogServer(this.log, this.clock);

  private nodes: NodeProcess[] = [];

  private readonly backendServers: SampleBackendServer[] = [];

  private failedChecks = 0;

  /**
   * @param rulesFile - the rule file to publish
   * @param console - the output of the steps and checks
   */
  constructor(
    private readonly rulesFile: string,
    private readonly console: Console,
  ) {}

  /**
   * Runs the demonstration.
   *
   * @returns the number of failed checks
   */
  async run(): Promise<number> {
    const folder = await mkdtemp(path.join(tmpdir(), 'lentillb-demo-'));
    try {
      await this.startFleet();
      await this.publishAndUpdate(folder);
      await this.sendCalls();
      await this.killReader();
      await this.stopGracefully();
    } finally {
      await Promise.all(this.nodes.map((node) => node.kill()));
      this.backendServers.forEach((server) => server.kill());
      await this.logServer.close();
      await rm(folder, { recursive: true });
    }
    return this.failedChecks;
  }

  private async startFleet(): Promise<void> {
    await this.logServer.listen();
    const hosts = ZONES.flatMap((zone) =>
      Array.from({ length: NODES_PER_ZONE }, (_, index) => ({
        zone,
        host: `${zone}-${index + 1}`,
      })),
    );
    const { url: logUrl } = this.logServer;
    this.nodes = await Promise.all(hosts.map((host) => NodeProcess.start({ ...host, logUrl })));
    for (const [index, node] of this.nodes.entries()) {
      const server = new SampleBackendServer({
        clock: this.clock,
        id: `server-${index + 1}`,
        service: SERVICES[index % SERVICES.length] as string,
        slots: SLOTS_PER_SERVER,
        localPort: node.ports.localPort,
      });
      await server.start();
      this.backendServers.push(server);
    }
    const hostCount = this.nodes.length;
    const ready = await this.waitUntil(async () => {
      const counts = await this.queryAll(async (client) => (await client.status()).unwrap().hosts);
      return counts.every((count) => count === hostCount);
    });
    this.check(ready, `${hostCount} node processes in ${ZONES.length} zones know each other`);
  }

  private async publishAndUpdate(folder: string): Promise<void> {
    const first = await this.lentillb('publish', this.rulesFile, '--author', 'salma');
    this.check(first === ExitCode.Ok, `${path.basename(this.rulesFile)} is in force on every node`);
    const edited = path.join(folder, 'my.rules');
    const configuration = (await this.client(0).configuration()).unwrap();
    const changed = configuration.text.replace('rate 2000 concurrency', 'rate 1800 concurrency');
    await writeFile(edited, `# edited from version ${configuration.version}\n${changed}`);
    const second = await this.lentillb('publish', edited, '--author', 'aisha');
    this.check(second === ExitCode.Ok, 'a changed rule is in force on every node');
    const texts = await this.queryAll(
      async (client) => (await client.configuration()).unwrap().text,
    );
    this.check(
      texts.every((text) => text === changed),
      'every node holds exactly the accepted text',
    );
    const third = await this.lentillb('publish', edited, '--author', 'hamad');
    this.check(
      third === ExitCode.Refused,
      'a second operator who edited the old version is refused',
    );
    const explained = await this.lentillb('explain', 'GET', '/letters/17');
    this.check(explained === ExitCode.Ok, 'the rules that apply to a request are shown');
  }

  private async sendCalls(): Promise<void> {
    const read = await this.call('GET', '/letters/17');
    this.check(read.status === HttpStatus.Ok, 'a reader browses a letter');
    const submitted = await this.call('POST', '/letters', 'Dear editor');
    this.check(submitted.status === HttpStatus.Ok, 'a writer lodges a letter');
    const runs = this.backendServers.map((server) => server.runs.get(submitted.requestId) ?? 0);
    const total = runs.reduce((sum, count) => sum + count, 0);
    this.check(total === 1, `the letter was lodged once (runs: ${total})`);
    const decided = await this.call('PUT', '/decisions/9', 'publish');
    this.check(decided.status === HttpStatus.Ok, 'an editor records a decision');
    const nowhere = await this.call('GET', '/nowhere');
    this.check(
      nowhere.status === HttpStatus.NotFound && nowhere.outcome === 'not-run',
      'the response to a request without a route says that it was not run',
    );
  }

  private async killReader(): Promise<void> {
    const statuses = await this.queryAll(async (client) => (await client.status()).unwrap());
    const index = statuses.findIndex(({ reader }) => reader);
    const [killed] = this.nodes.splice(index, 1);
    this.backendServers.splice(index, 1).forEach((server) => server.kill());
    await killed?.kill();
    const noticed = await this.waitUntil(async () => {
      const counts = await this.queryAll(async (client) => (await client.status()).unwrap().hosts);
      return counts.every((count) => count === this.nodes.length);
    });
    this.check(noticed, `the other nodes detect that ${killed?.host} is lost`);
    const read = await this.call('GET', '/letters/18');
    this.check(read.status === HttpStatus.Ok, 'a reader can still browse without it');
  }

  private async stopGracefully(): Promise<void> {
    const codes = await Promise.all(this.nodes.map((node) => node.stop()));
    this.check(
      codes.every((code) => code === 0),
      'every node stops gracefully on SIGTERM',
    );
  }

  private async lentillb(...args: readonly string[]): Promise<ExitCode> {
    this.console.print(`$ lentillb ${args.join(' ')}`);
    const indented: Console = {
      print: (line) => this.console.print(`    ${line}`),
      note: (line) => this.console.print(`    ${line}`),
    };
    return runProgram([...args, '--admin', this.nodes[0]?.adminUrl ?? ''], indented);
  }

  private async call(
    method: 'GET' | 'POST' | 'PUT',
    target: string,
    payload?: string,
  ): Promise<{ status: number; outcome: string; requestId: string }> {
    const { statusCode, headers, body } = await request(`${this.nodes[1]?.callUrl}${target}`, {
      method,
      body: payload,
    });
    const text = await body.text();
    this.console.print(`${method} ${target} -> ${statusCode} ${text.trim()}`);
    return {
      status: statusCode,
      outcome: String(headers['lentillb-outcome'] ?? ''),
      requestId: String(headers['x-request-id'] ?? ''),
    };
  }

  private client(index: number): AdminClient {
    return new AdminClient(this.nodes[index]?.adminUrl ?? '', CLIENT_TIMEOUT_MS);
  }

  private async queryAll<Answer>(
    query: (client: AdminClient) => Promise<Answer>,
  ): Promise<Answer[]> {
    return Promise.all(this.nodes.map((_, index) => query(this.client(index))));
  }

  private async waitUntil(condition: () => Promise<boolean>): Promise<boolean> {
    const startMs = this.clock.monotonicMs();
    while (this.clock.monotonicMs() - startMs < READY_TIMEOUT_MS) {
      if (await condition()) {
        return true;
      }
      await this.clock.sleep(POLL_MS);
    }
    return false;
  }

  private check(passed: boolean, description: string): void {
    this.console.print(`${passed ? 'ok' : 'NOT OK'}: ${description}`);
    this.failedChecks += passed ? 0 : 1;
  }
}
