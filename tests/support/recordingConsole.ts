/** Records the output of a command. */
import type { Console } from '@lentillb/cli';

/** Records printed lines and notes in place of writing them. */
export class RecordingConsole implements Console {
  readonly printed: string[] = [];

  readonly noted: string[] = [];

  readonly print = (line: string): void => {
    this.printed.push(line);
  };

  readonly note = (line: string): void => {
    this.noted.push(line);
  };

  /** All printed lines, parsed as one JSON value. */
  get json(): unknown {
    return JSON.parse(this.printed.join('\n'));
  }
}
