/** Plays one seed: hosts, callers, faults and the checks of what was seen. */
import { mkdir } from 'node:fs/promises';
import path from 'node:path';
import { KeyedLogServer } from '@lentillb/standins';
import { SeededRandomness } from 'lentillb/sidecar';
import type { Clock } from 'lentillb/sidecar';
import { Caller } from './caller.js';
import type { FaultTarget } from './faults.js';
import { faults } from './faults.js';
import {
  Bounds,
  CONFIGURATION_KEY,
  configurationDocument,
  OPERATOR_TOPIC,
  services,
} from './platformDocuments.js';
import type { Finding } from './promises.js';
import { findBroken } from './promises.js';
import { DisturbanceKind, SoakRecord } from './record.js';
import type { ScheduledFault } from './schedule.js';
import { drawSchedule } from './schedule.js';
import { SoakHost } from './soakHost.js';

/** What a run is made with. */
export interface SoakOptions {
  readonly seed: number;
  readonly hostCount: number;
  /** The built program. */
  readonly program: string;
  /** Where this run writes settings and logs. */
  readonly folder: string;
  /** The second number of the IP numbers on loopback, so that runs side by side keep apart. */
  readonly network: number;
}

/** What came of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly ScheduledFault[];
  readonly requests: number;
  readonly answered: number;
  readonly findings: readonly Finding[];
}

const ZONES = 3;
const ROUTE_TIMEOUT_MS = 800;
/** How long nodes may take until every request is served, before anything is disturbed, in milliseconds. */
const SETTLE_MS = 6_000;
/** How long requests go on after the last bound has passed, in milliseconds. */
const AFTERWARDS_MS = 2_000;
/** How often the soak looks whether its own process is late, in milliseconds. */
const OBSERVE_EVERY_MS = 20;
/** How late it may be, in milliseconds: a fifth of the shortest bound it checks. */
const TOLERATED_DELAY_MS = 50;

/** One run. */
export class SoakRun {
  private readonly record = new SoakRecord();

  private readonly store = new KeyedLogServer();

  private readonly randomness: SeededRandomness;

  private hosts: readonly SoakHost[] = [];

  private version = 0;

  private isOver = false;

  constructor(
    private readonly clock: Clock,
    private readonly options: SoakOptions,
  ) {
    this.randomness = new SeededRandomness(options.seed);
  }

  /** @returns what came of it */
  async play(): Promise<SoakResult> {
    const { clock, record } = this;
    const { hostCount, seed } = this.options;
    const schedule = drawSchedule(this.randomness, hostCount);
    await this.start();
    const callers = this.hosts.map(
      (host) => new Caller({ clock, randomness: this.randomness, record }, () => host.called),
    );
    const observing = this.observeOwnDelays();
    const sending = callers.map((caller) => caller.run());
    await Promise.all([
      ...schedule.faults.map((fault) => this.disturb(fault)),
      ...schedule.publications.map((atMs) => clock.sleep(atMs).then(() => this.publish())),
    ]);
    record.calmFromMs = clock.monotonicMs();
    await clock.sleep(Bounds.catchUpMs + AFTERWARDS_MS);
    callers.forEach((caller) => caller.stop());
    await Promise.all(sending);
    this.isOver = true;
    await observing;
    await this.close();
    const { requests } = record;
    const answered = requests.filter(({ isOwnAnswer }) => isOwnAnswer).length;
    const findings = findBroken(record);
    return { seed, faults: schedule.faults, requests: requests.length, answered, findings };
  }

  private async start(): Promise<void> {
    const { clock, randomness, record } = this;
    const { folder, hostCount, network, program } = this.options;
    await mkdir(folder, { recursive: true });
    await this.store.listen();
    this.publish();
    this.hosts = Array.from(
      { length: hostCount },
      (_, index) =>
        new SoakHost(
          { clock, randomness, record },
          {
            index,
            ip: `127.${network}.0.${index + 1}`,
            zone: `zone-${index % ZONES}`,
            service: services[index % services.length] ?? services[0],
            storeAddress: this.store.address,
            program,
            folder: path.resolve(folder),
          },
        ),
    );
    await Promise.all(this.hosts.map((host) => host.start()));
    await clock.sleep(SETTLE_MS);
  }

  private async disturb({ atMs, forMs, host, name }: ScheduledFault): Promise<void> {
    const { clock, record, store } = this;
    const fault = faults[name];
    const disturbed = this.hosts[host];
    if (fault === undefined || disturbed === undefined) {
      throw new Error(`the schedule names an unknown fault "${name}" or host ${host}`);
    }
    await clock.sleep(atMs);
    const { everywhere, kind } = fault;
    const fromMs = clock.monotonicMs();
    const open = { kind, host: everywhere ? undefined : host, fromMs, untilMs: Infinity };
    record.disturbances.push(open);
    const target: FaultTarget = { clock, store, host: disturbed, forMs };
    await fault.play(target);
    record.disturbances.splice(record.disturbances.indexOf(open), 1, {
      ...open,
      untilMs: clock.monotonicMs(),
    });
  }

  /** Relays, callers and backend servers share this process; one that is held falsifies their times. */
  private async observeOwnDelays(): Promise<void> {
    const { clock, record } = this;
    while (!this.isOver) {
      const fromMs = clock.monotonicMs();
      await clock.sleep(OBSERVE_EVERY_MS);
      const untilMs = clock.monotonicMs();
      if (untilMs - fromMs > OBSERVE_EVERY_MS + TOLERATED_DELAY_MS) {
        const kind = DisturbanceKind.LateObservation;
        record.disturbances.push({ kind, host: undefined, fromMs, untilMs });
      }
    }
  }

  private publish(): void {
    this.version += 1;
    const { record, version } = this;
    const document = configurationDocument(version, ROUTE_TIMEOUT_MS);
    this.store.write(OPERATOR_TOPIC, CONFIGURATION_KEY, document);
    record.publications.push({ version, atMs: this.clock.monotonicMs() });
  }

  private async close(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.close()));
    await this.store.close();
  }
}
