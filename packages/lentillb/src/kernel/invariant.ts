/** Broken invariants: the only failures that stop the process. */

/** Thrown where the program's own promises no longer hold. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError';
}

/**
 * Stops the process where a promise of the program itself is broken.
 *
 * @param holds - the condition that must hold
 * @param promise - what was promised, for the message
 * @throws InvariantError where the condition does not hold
 */
export function assertInvariant(holds: boolean, promise: string): asserts holds {
  if (!holds) {
    throw new InvariantError(`broken invariant: ${promise}`);
  }
}
