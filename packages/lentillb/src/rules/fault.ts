/** Faults found in a rule file. */

/** One fault, at the place it was found. */
export interface Fault {
  /** The line, from 1. */
  readonly line: number;
  /** The column, from 1. */
  readonly column: number;
  /** What is wrong, and what to do about it. */
  readonly message: string;
}

/**
 * @param file - the name of the rule file
 * @param fault - the fault to print
 * @returns the fault as `file:line:column: what; what to do`
 */
export function printFault(file: string, fault: Fault): string {
  return `${file}:${fault.line}:${fault.column}: ${fault.message}`;
}
