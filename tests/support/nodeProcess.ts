/** A process of the program of a node. */
import type { ChildProcess } from 'node:child_process';
import { request as openRequest } from 'node:http';
import { SystemClock } from 'lentillb';
import { parseAddress } from 'lentillb/utils/networkAddress.js';

const CONDITION_TIMEOUT_MS = 20_000;
const clock = new SystemClock();

/** The addresses of a node by their names in the settings; `peer` is open for TCP and UDP. */
export type NodeAddresses = Readonly<
  Record<'inbound' | 'outbound' | 'ready' | 'control-plane' | 'peer', string>
>;

/** The host that a program runs on. */
export interface ProgramHost {
  readonly addresses: NodeAddresses;
  readonly backendServerAddress: string;
  readonly storeAddress: string;
  /** Timeout of a planned stop, as in the settings. */
  readonly stopTimeout: string;
}

/** An HTTP request of a test. */
export interface ProgramCall {
  readonly method?: string;
  readonly target?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/**
 * Sends a request.
 *
 * @param address - the address and port to send it to
 * @param call - the request
 * @returns the status of the answer, or the code of the error
 */
export function call(
  address: string,
  { body, headers = {}, method = 'GET', target = '/' }: ProgramCall,
): Promise<number | string> {
  return new Promise((resolve) => {
    const options = { ...parseAddress(address), method, path: target, headers, agent: false };
    const outgoing = openRequest(options, (response) => {
      response.resume();
      response.on('error', () => resolve('incomplete'));
      response.on('end', () => resolve(response.statusCode ?? 0));
    });
    outgoing.on('error', ({ code }: NodeJS.ErrnoException) => resolve(code ?? 'error'));
    outgoing.end(body);
  });
}

/**
 * Waits until a condition holds.
 *
 * @param condition - the condition
 * @param describe - describes the state, for the error
 * @throws Error if the condition does not hold in time
 */
export async function until(
  condition: () => boolean | Promise<boolean>,
  describe: () => string,
): Promise<void> {
  const endMs = clock.monotonicMs() + CONDITION_TIMEOUT_MS;
  while (!(await condition())) {
    if (clock.monotonicMs() > endMs) {
      throw new Error(`condition does not hold after ${CONDITION_TIMEOUT_MS} ms: ${describe()}`);
    }
    await clock.sleep(20);
  }
}

/** One process of the program. */
export class NodeProcess {
  /** The output on both streams. */
  output = '';

  /** The exit code or signal, once the process has ended. */
  end: number | string | undefined;

  constructor(
    readonly host: ProgramHost,
    private readonly child: ChildProcess,
  ) {
    [child.stdout, child.stderr].forEach((stream) =>
      stream?.on('data', (chunk: Buffer) => {
        this.output += chunk.toString();
      }),
    );
    child.once('close', (code, signal) => {
      this.end = code ?? signal ?? 'unknown';
    });
  }

  /** The lines of the log. */
  get log(): readonly Readonly<Record<string, unknown>>[] {
    return this.output
      .split('\n')
      .filter((line) => line.startsWith('{') && line.endsWith('}'))
      .map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  /** Returns the lines of an event. */
  linesOf(event: string): readonly Readonly<Record<string, unknown>>[] {
    return this.log.filter((line) => line.event === event);
  }

  /** Returns the status of the readiness check, or the code of the error. */
  readiness(): Promise<number | string> {
    return call(this.host.addresses.ready, { target: '/readiness' });
  }

  /** Sends a signal. */
  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Waits until a condition holds; its error shows the output. */
  until(condition: () => boolean | Promise<boolean>): Promise<void> {
    return until(condition, () => `the process ended with ${this.end}, output:\n${this.output}`);
  }
}
