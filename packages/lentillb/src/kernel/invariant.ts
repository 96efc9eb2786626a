/** Checks invariants of the program. Violations are the only failures that stop the process. */

/** Thrown when an invariant of the program is violated. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/**
 * Throws an error that stops the process if an invariant of the program is violated.
 *
 * @param condition - the condition that must hold
 * @param invariant - the description of the invariant, for the error message
 * @throws InvariantError if the condition does not hold
 */
export function assertInvariant(condition: boolean, invariant: string): asserts condition {
  if (!condition) {
    throw new InvariantError(`broken invariant: ${invariant}`);
  }
}
