/** Plays one seed: starts hosts and callers, injects faults and checks the observations. */
import { mkdir } from 'node:fs/promises';
import path from 'node:path';
import { KeyedLogServer } from '@lentillb/standins';
import { SeededRandomness } from 'lentillb/sidecar';
import type { Clock } from 'lentillb/sidecar';
import { Caller } from './caller.js';
import type { Fault, FaultTarget } from './faults.js';
import { batchFaults, faults, gateRelayFaults, laterFaults } from './faults.js';
import type { Finding } from './invariants.js';
import { findViolations } from './invariants.js';
import {
  Bounds,
  CONFIGURATION_KEY,
  configurationDocument,
  OPERATOR_TOPIC,
} from './platformDocuments.js';
import type { NodeProgram } from './nodeProgram.js';
import type { Profile } from './profiles.js';
import type { ScheduledFault } from './schedule.js';
import { drawSchedule } from './schedule.js';
import { SoakHost } from './soakHost.js';
import type { HostOptions } from './soakHost.js';
import { DisturbanceKind, SoakRecord } from './soakRecord.js';
import type { Disturbance } from './soakRecord.js';
import { startFaults } from './startFaults.js';

export interface SoakOptions {
  readonly seed: number;
  readonly profile: Profile;
  readonly program: NodeProgram;
  /** The folder that this run writes settings and logs to. */
  readonly folder: string;
  /** The second octet of the loopback addresses, which keeps parallel runs apart. */
  readonly loopbackOctet: number;
}

export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly ScheduledFault[];
  readonly requests: number;
  readonly answered: number;
  /** The highest resident memory of a node process, in megabytes. */
  readonly peakMemoryMb: number;
  /** The number of node processes that were started on each host. */
  readonly starts: readonly number[];
  readonly findings: readonly Finding[];
  /** The times at which the soak test itself was blocked, which blocks its relays too. */
  readonly observerDelays: readonly Disturbance[];
}

/** The time that nodes get to serve every request before the first fault. */
const WARM_UP_MS = 6_000;
/** The time for which requests continue after the recovery period, to check that all are served. */
const RECOVERY_LOAD_MS = 2_000;
/** The interval at which the soak test checks whether its own process is delayed. */
const DELAY_CHECK_INTERVAL_MS = 20;
/** The maximum tolerated delay: a fifth of the shortest time limit that the checks use, 250 ms. */
const MAX_OBSERVER_DELAY_MS = 50;

/** Plays one seed. */
export class SoakRun {
  private readonly record = new SoakRecord();

  private readonly store = new KeyedLogServer();

  private readonly randomness: SeededRandomness;

  private hosts: readonly SoakHost[] = [];

  private version = 0;

  private isFinished = false;

  constructor(
    private readonly clock: Clock,
    private readonly options: SoakOptions,
  ) {
    this.randomness = new SeededRandomness(options.seed);
  }

  /** @returns the result of the run */
  async run(): Promise<SoakResult> {
    const { clock, record } = this;
    const { profile, seed } = this.options;
    const schedule = drawSchedule(this.randomness, profile.hosts, profile.hasStartFaults);
    const hasFaultOf = (group: Readonly<Record<string, Fault>>): boolean =>
      schedule.faults.some(({ name }) => Object.hasOwn(group, name));
    await this.start({
      hasGateRelay: hasFaultOf(gateRelayFaults),
      hasSlowSends: !profile.hasStartFaults && hasFaultOf(batchFaults),
    });
    const services = { clock, randomness: this.randomness, record };
    const callers = this.hosts.map(
      (host) => new Caller(services, () => host.target, profile.connectionsPerCaller),
    );
    const delayRecording = this.recordObserverDelays();
    const callerRuns = callers.map((caller) => caller.run(profile));
    await Promise.all([
      ...schedule.faults.map((fault) => this.injectFault(fault)),
      ...schedule.publications.map((atMs) => clock.sleep(atMs).then(() => this.publish())),
    ]);
    record.faultsEndedAtMs = clock.monotonicMs();
    await clock.sleep(Bounds.recoveryMs + RECOVERY_LOAD_MS);
    callers.forEach((caller) => caller.stop());
    await Promise.all(callerRuns);
    this.isFinished = true;
    await delayRecording;
    await this.close();
    const { requests } = record;
    const answered = requests.filter(({ isMatchingResponse }) => isMatchingResponse).length;
    return {
      seed,
      faults: schedule.faults,
      requests: requests.length,
      answered,
      peakMemoryMb: record.peakMemoryMb,
      starts: this.hosts.map(({ processNumber }) => processNumber),
      findings: findViolations(record),
      observerDelays: record.disturbances.filter(
        ({ kind }) => kind === DisturbanceKind.ObserverDelay,
      ),
    };
  }

  private async start(hooks: Pick<HostOptions, 'hasGateRelay' | 'hasSlowSends'>): Promise<void> {
    const { clock, randomness, record } = this;
    const { folder, loopbackOctet, profile, program } = this.options;
    const { hosts, services, zones } = profile;
    await mkdir(folder, { recursive: true });
    await this.store.listen();
    this.publish();
    this.hosts = Array.from(
      { length: hosts },
      (_, index) =>
        new SoakHost(
          { clock, randomness, record },
          {
            ...profile,
            index,
            ip: `127.${loopbackOctet}.0.${index + 1}`,
            zone: `zone-${index % zones}`,
            service: services[index % services.length] ?? 'letters',
            storeAddress: this.store.address,
            program,
            folder: path.resolve(folder),
            ...hooks,
          },
        ),
    );
    await Promise.all(this.hosts.map((host) => host.start()));
    await clock.sleep(WARM_UP_MS);
  }

  private async injectFault({ atMs, durationMs, host, name }: ScheduledFault): Promise<void> {
    const { clock, record, store } = this;
    const fault = [faults, ...laterFaults, startFaults].find((group) =>
      Object.hasOwn(group, name),
    )?.[name];
    const targetHost = this.hosts[host];
    if (fault === undefined || targetHost === undefined) {
      throw new Error(
        `the schedule refers to an unknown fault "${name}" or an unknown host ${host}`,
      );
    }
    await clock.sleep(atMs);
    const { affectsAllHosts, kind } = fault;
    const fromMs = clock.monotonicMs();
    const disturbance = {
      kind,
      host: affectsAllHosts ? undefined : host,
      fromMs,
      untilMs: Infinity,
    };
    record.disturbances.push(disturbance);
    const { hosts } = this;
    const target: FaultTarget = { clock, store, host: targetHost, hosts, durationMs };
    await fault.inject(target);
    record.disturbances.splice(record.disturbances.indexOf(disturbance), 1, {
      ...disturbance,
      untilMs: clock.monotonicMs(),
    });
  }

  /**
   * Records when the event loop of this process was blocked. Relays, callers and backend servers
   * share it, so the times that they record meanwhile are too late.
   */
  private async recordObserverDelays(): Promise<void> {
    const { clock, record } = this;
    while (!this.isFinished) {
      const fromMs = clock.monotonicMs();
      await clock.sleep(DELAY_CHECK_INTERVAL_MS);
      const untilMs = clock.monotonicMs();
      if (untilMs - fromMs > DELAY_CHECK_INTERVAL_MS + MAX_OBSERVER_DELAY_MS) {
        const kind = DisturbanceKind.ObserverDelay;
        record.disturbances.push({ kind, host: undefined, fromMs, untilMs });
      }
    }
  }

  private publish(): void {
    this.version += 1;
    const { record, version } = this;
    const document = configurationDocument(version, this.options.profile);
    this.store.write(OPERATOR_TOPIC, CONFIGURATION_KEY, document);
    record.publications.push({ version, atMs: this.clock.monotonicMs() });
  }

  private async close(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.close()));
    await this.store.close();
  }
}
