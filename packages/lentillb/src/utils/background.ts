/** Tasks that run beside what started them. */

/**
 * Lets a task run on its own. Its outcomes are values; one that fails shows a broken invariant
 * and stops the process.
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
