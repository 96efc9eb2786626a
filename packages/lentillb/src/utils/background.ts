/** Runs tasks in the background. */

/**
 * Runs a task without awaiting it. Tasks return expected failures as values, so a rejection
 * indicates a violated invariant and stops the process.
 *
 * @param task - the task
 */
export function runInBackground(task: Promise<unknown>): void {
  task.catch((error: unknown) => {
    process.nextTick(() => {
      throw error;
    });
  });
}
