/** Keeps what a command wrote. */
import type { Console } from '@lentillb/cli';

/** A console for tests. */
export class RecordingConsole implements Console {
  readonly printed: string[] = [];

  readonly noted: string[] = [];

  readonly print = (line: string): void => {
    this.printed.push(line);
  };

  readonly note = (line: string): void => {
    this.noted.push(line);
  };

  /** Everything printed, as one JSON value. */
  get json(): unknown {
    return JSON.parse(this.printed.join('\n'));
  }
}
