/** Describes the faults found in a rule file. */

/** Describes a fault and where it was found. */
export interface Fault {
  /** Gives the line number, counted from 1. */
  readonly line: number;
  /** Gives the column, counted from 1. */
  readonly column: number;
  /** States what is wrong and how to correct it. */
  readonly message: string;
}

/**
 * @param file - the name of the rule file
 * @param fault - the fault to format
 * @returns the fault as `file:line:column: problem; correction`
 */
export function printFault(file: string, fault: Fault): string {
  return `${file}:${fault.line}:${fault.column}: ${fault.message}`;
}
