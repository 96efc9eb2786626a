/** Nodes as processes with a shared log, and open-loop load, for the benchmarks that send calls. */
import { AdminClient, NodeProcess } from '@lentillb/cli';
import { LogServer, MemoryLog } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import type { Clock } from 'lentillb';
import { request } from 'undici';

const PUBLISH_TIMEOUT_MS = 10_000;
/** The delay after a publication, in which all nodes are expected to enforce it. */
const SETTLE_MS = 500;
/** The interval between renewals of a backend server's announcement. */
const RENEWAL_INTERVAL_MS = 1_000;

/** A backend server to announce to a node. */
export interface AnnouncedServer {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly slots: number;
}

/** Node processes of one zone that enforce the same rule file. */
export class ProcessFleet {
  readonly clock: Clock = new SystemClock();

  readonly nodes: NodeProcess[] = [];

  private readonly logServer: LogServer;

  private readonly renewalTimers: NodeJS.Timeout[] = [];

  constructor() {
    const { clock } = this;
    const log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 300 });
    this.logServer = new LogServer(log, clock);
  }

  /**
   * Starts the log and one node process for each host, all in one zone.
   *
   * @param hosts - the hosts of the nodes
   */
  async start(...hosts: readonly string[]): Promise<void> {
    await this.logServer.listen();
    const { url: logUrl } = this.logServer;
    for (const host of hosts) {
      this.nodes.push(await NodeProcess.start({ host, zone: 'zone-a', logUrl }));
    }
  }

  /**
   * Announces a backend server to the node of its host and renews the announcement until stop() is called.
   *
   * @param node - the node on the host of the backend server
   * @param announced - the backend server
   */
  async announce(node: NodeProcess, { id, ...body }: AnnouncedServer): Promise<void> {
    const url = `http://127.0.0.1:${node.ports.localPort}/v1/backend-servers/${id}`;
    const register = async (): Promise<void> => {
      const answer = await request(url, { method: 'PUT', body: JSON.stringify(body) });
      await answer.body.dump();
    };
    await register();
    this.renewalTimers.push(
      setInterval(() => {
        register().catch(() => undefined);
      }, RENEWAL_INTERVAL_MS),
    );
  }

  /**
   * Publishes rules and waits a fixed time for the nodes to enforce them.
   *
   * @param text - the rule file
   */
  async publish(text: string): Promise<void> {
    const admin = new AdminClient(this.nodes[0]?.adminUrl ?? '', PUBLISH_TIMEOUT_MS);
    const publication = {
      publishId: 'bench',
      base: 0,
      author: 'bench',
      timeoutMs: PUBLISH_TIMEOUT_MS,
    };
    (await admin.publish({ ...publication, text })).unwrap();
    await this.clock.sleep(SETTLE_MS);
  }

  /** Stops the renewals, the nodes and the log. */
  async stop(): Promise<void> {
    this.renewalTimers.forEach((timer) => clearInterval(timer));
    await Promise.all(this.nodes.map((node) => node.kill()));
    await this.logServer.close();
  }
}

/**
 * Starts an action at fixed times, whether or not earlier ones have completed (open-loop load).
 * Slow responses therefore do not lower the arrival rate.
 *
 * @param ratePerSecond - the number of actions started per second
 * @param count - the total number of actions
 * @param action - the action; receives its index, from 0
 */
export async function runAtFixedRate(
  ratePerSecond: number,
  count: number,
  action: (index: number) => Promise<void>,
): Promise<void> {
  const pending: Promise<void>[] = [];
  const startMs = performance.now();
  for (let index = 0; index < count; index += 1) {
    const waitMs = startMs + (index * 1_000) / ratePerSecond - performance.now();
    if (waitMs > 1) {
      await new Promise<void>((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    pending.push(action(index));
  }
  await Promise.all(pending);
}
