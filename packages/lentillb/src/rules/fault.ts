/** Describes the faults found in a rule file. */

/** A fault, and where it was found. */
export interface Fault {
  /** The line number, counted from 1. */
  readonly line: number;
  /** The column, counted from 1. */
  readonly column: number;
  /** What is wrong and how to correct it. */
  readonly message: string;
}

/**
 * @param file - the name of the rule file
 * @param fault - the fault to format
 * @returns the fault as `file:line:column: problem; correction`
 */
export function formatFault(file: string, fault: Fault): string {
  return `${file}:${fault.line}:${fault.column}: ${fault.message}`;
}
