/** Simulates the entries of a fleet, their datagrams and the requests of customers. */
import { SeededRandomness } from 'lentillb';
import type { Permit } from 'lentillb/allotments/index.js';
import { Allotments, DEFAULT_QUOTA_TERMS } from 'lentillb/allotments/index.js';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import type { Customer } from 'lentillb/configuration/meshConfiguration.js';
import { Directory } from 'lentillb/directory/directory.js';
import type { BackendServerState } from 'lentillb/directory/announcement.js';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { runInBackground } from 'lentillb/utils/background.js';

const FIRST_PORT = 7_001;
const START_SEED = 7;
/** The delay after which hosts hear of a change of another host, in milliseconds. */
const GOSSIP_MS = 300;
const LIMITS = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 1_000_000,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};

/** Returns a customer with a rate. */
export function createCustomer(name: string, ratePerSecond: number): Customer {
  return { name, keys: [`key of ${name}`], priority: 0, ratePerSecond, burst: ratePerSecond };
}

function addressOf(host: string): string {
  return `10.0.0.1:${FIRST_PORT + Number(host.slice(1))}`;
}

function countBetween(times: readonly number[] | undefined, fromMs: number, toMs: number): number {
  return (times ?? []).filter((timeMs) => timeMs >= fromMs && timeMs < toMs).length;
}

interface Process {
  readonly allotments: Allotments;
  readonly configuration: ConfigurationHolder;
  readonly directory: Directory;
}

/** A fleet in simulated time. */
export class QuotaFleet {
  readonly clock = new EventClock();

  readonly randomness: SeededRandomness;

  /** The times at which requests were admitted, by customer. */
  readonly admittedAtMs = new Map<string, number[]>();

  /** The times at which requests were refused, by customer. */
  readonly refusedAtMs = new Map<string, number[]>();

  /** The share of datagrams that are lost. */
  lossShare = 0;

  /** The longest delay of a datagram, in milliseconds. */
  maxDelayMs = 4;

  sentDatagrams = 0;

  sentBytes = 0;

  private readonly processes = new Map<string, Process>();

  /** The sides of a partition by host; hosts of the same side hear each other. */
  private readonly sides = new Map<string, number>();

  private readonly announced = new Map<string, { state: BackendServerState; sequence: number }>();

  private version = 1;

  constructor(
    hosts: number,
    private customers: readonly Customer[],
    seed = START_SEED,
    /** The longest time after which a starting process learns of others, in milliseconds. */
    private readonly discoveryMs = 0,
  ) {
    this.randomness = new SeededRandomness(seed);
    Array.from({ length: hosts }, (_, index) => `h${index}`).forEach((host) => {
      this.announced.set(host, { state: 'ready', sequence: 1 });
    });
    [...this.announced.keys()].forEach((host) => this.start(host));
  }

  get hosts(): readonly string[] {
    return [...this.announced.keys()];
  }

  /** Starts a process on a host, in place of the former one. */
  start(host: string): void {
    this.kill(host);
    const { clock } = this;
    const configuration = new ConfigurationHolder();
    const directory = new Directory();
    const log = new DecisionLog(clock, { info: () => undefined, warn: () => undefined });
    const metrics = new MetricsRegistry();
    const randomness = new SeededRandomness(this.randomness.integer(2 ** 30));
    const allotments: Allotments = new Allotments(
      {
        clock,
        randomness,
        configuration,
        directory,
        log,
        metrics,
        transport: { sendDatagram: (address, bytes) => this.transmit(host, address, bytes) },
      },
      { host, processId: this.randomness.integer(2 ** 30), isReady: () => true },
    );
    this.processes.set(host, { allotments, configuration, directory });
    this.announced.forEach((_, other) => {
      if (other === host || this.discoveryMs === 0) {
        this.announceTo(host, other);
      } else {
        clock.after(this.randomness.integer(this.discoveryMs), () => this.announceTo(host, other));
      }
    });
    this.configure(host);
  }

  kill(host: string): void {
    this.processes.get(host)?.allotments.stop();
    this.processes.delete(host);
  }

  /** Announces the state of the backend server of a host, which may be new. */
  announce(host: string, state: BackendServerState): void {
    this.announced.set(host, { state, sequence: (this.announced.get(host)?.sequence ?? 0) + 1 });
    this.processes.forEach((_, other) =>
      this.clock.after(this.randomness.integer(GOSSIP_MS), () => {
        if (this.areConnected(host, other)) {
          this.announceTo(other, host);
        }
      }),
    );
  }

  /** Cuts hosts off from others of another side. */
  partition(sideOf: (host: string) => number): void {
    this.announced.forEach((_, host) => this.sides.set(host, sideOf(host)));
  }

  /** Ends all partitions; hosts learn what they have missed. */
  heal(): void {
    this.sides.clear();
    this.announced.forEach((_, host) =>
      this.processes.forEach((process, other) => this.announceTo(other, host)),
    );
  }

  /** Puts customers into force on all hosts. */
  replaceCustomers(customers: readonly Customer[]): void {
    this.customers = customers;
    this.version += 1;
    this.processes.forEach((_, host) => this.configure(host));
  }

  /** Sends a request to the entry of a host. */
  request(host: string, customer: string, onPermit?: (permit: Permit) => void): void {
    const process = this.processes.get(host);
    if (process === undefined) {
      return;
    }
    const decide = async (): Promise<void> => {
      const admission = await process.allotments.admit(customer);
      const times = admission.isOk() ? this.admittedAtMs : this.refusedAtMs;
      this.note(times, customer);
      if (admission.isOk()) {
        onPermit?.(admission.value);
      }
    };
    runInBackground(decide());
  }

  /** Sends requests at random intervals to random ones of some hosts. */
  load(hosts: readonly string[], customer: string, ratePerSecond: number, untilMs: number): void {
    const delayMs = (-Math.log(1 - this.randomness.fraction()) * 1_000) / ratePerSecond;
    this.clock.after(delayMs, () => {
      if (this.clock.monotonicMs() < untilMs) {
        this.request(hosts[this.randomness.integer(hosts.length)] as string, customer);
        this.load(hosts, customer, ratePerSecond, untilMs);
      }
    });
  }

  /** The number of a customer's requests that were admitted in a time. */
  admittedBetween(customer: string, fromMs: number, toMs: number): number {
    return countBetween(this.admittedAtMs.get(customer), fromMs, toMs);
  }

  /** The share of a customer's requests that were refused in a time. */
  refusedShare(customer: string, fromMs: number, toMs: number): number {
    const refused = countBetween(this.refusedAtMs.get(customer), fromMs, toMs);
    return refused / Math.max(1, refused + this.admittedBetween(customer, fromMs, toMs));
  }

  /** The most requests of a customer that were admitted in any window from a time on, less what the bound allows. */
  excess({ burst, name, ratePerSecond }: Customer, fromMs: number): number {
    const times = (this.admittedAtMs.get(name) ?? []).filter((timeMs) => timeMs >= fromMs);
    const { overshoot, slack, windowMs } = DEFAULT_QUOTA_TERMS;
    const bound = ((ratePerSecond * windowMs) / 1_000 + burst) * (1 + overshoot) + slack;
    let first = 0;
    return times.reduce((most, timeMs, index) => {
      while (timeMs - (times[first] as number) > windowMs) {
        first += 1;
      }
      return Math.max(most, index - first + 1 - bound);
    }, -bound);
  }

  private note(times: Map<string, number[]>, customer: string): void {
    const noted = times.get(customer) ?? [];
    noted.push(this.clock.monotonicMs());
    times.set(customer, noted);
  }

  private areConnected(left: string, right: string): boolean {
    return left === right || (this.sides.get(left) ?? 0) === (this.sides.get(right) ?? 0);
  }

  private transmit(from: string, address: string, bytes: Buffer): void {
    this.sentDatagrams += 1;
    this.sentBytes += bytes.length;
    if (this.randomness.fraction() < this.lossShare) {
      return;
    }
    const to = `h${Number(address.split(':')[1]) - FIRST_PORT}`;
    this.clock.after(1 + this.randomness.integer(this.maxDelayMs), () => {
      if (this.areConnected(from, to)) {
        this.processes.get(to)?.allotments.receive(addressOf(from), bytes);
      }
    });
  }

  private announceTo(receiver: string, host: string): void {
    const { sequence, state } = this.announced.get(host) as {
      state: BackendServerState;
      sequence: number;
    };
    this.processes.get(receiver)?.directory.merge({
      host,
      zone: 'a',
      gateAddress: '10.0.0.1:1',
      peerAddress: addressOf(host),
      incarnation: 1,
      sequence,
      backendServer: { id: host, startedAtMs: 0, service: 's', slots: 9, state },
    });
  }

  private configure(host: string): void {
    const { customers, version } = this;
    this.processes
      .get(host)
      ?.configuration.activateIfNewer({ version, routes: [], limits: LIMITS, customers });
  }
}
