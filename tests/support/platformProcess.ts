/** A process of the program that runs on the platform. */
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { SystemClock } from 'lentillb';

const CONDITION_TIMEOUT_MS = 20_000;
const POLL_MS = 10;

const clock = new SystemClock();

/** A line of the program's log. */
export type LogLine = Readonly<Record<string, unknown>>;

/** The end of a process: its exit code, or the signal that ended it. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Waits until a condition holds. */
async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  const endMs = clock.monotonicMs() + CONDITION_TIMEOUT_MS;
  while (!condition()) {
    if (clock.monotonicMs() > endMs) {
      throw new Error(`not met after ${CONDITION_TIMEOUT_MS} ms: ${description}`);
    }
    await clock.sleep(POLL_MS);
  }
}

/** A process of the program, with what it has written. */
export class PlatformProcess {
  output = '';

  readonly ended: Promise<ProcessEnd>;

  constructor(readonly child: ChildProcess) {
    [child.stdout, child.stderr].forEach((stream) =>
      stream?.on('data', (chunk: Buffer) => {
        this.output += chunk.toString();
      }),
    );
    this.ended = once(child, 'close').then(([code, signal]) => ({ code, signal }));
  }

  /** The complete lines of the log so far; other output is left out. */
  get lines(): LogLine[] {
    return this.output
      .split('\n')
      .slice(0, -1)
      .filter((line) => line.startsWith('{'))
      .map((line) => JSON.parse(line) as LogLine);
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Waits until the program has logged an event, in a complete line. */
  async logged(event: string): Promise<void> {
    await this.until(() => this.lines.some((line) => line.event === event), event);
  }

  /** Waits until the program has written a text. */
  async saying(text: string): Promise<void> {
    await this.until(() => this.output.includes(text), text);
  }

  private async until(condition: () => boolean, text: string): Promise<void> {
    const { child } = this;
    await waitUntil(() => {
      if (child.exitCode !== null || child.signalCode !== null) {
        throw new Error(`ended (${child.exitCode ?? child.signalCode}): ${this.output}`);
      }
      return condition();
    }, `${text} is written, ${this.output}`);
  }
}
