/** Records errors that would end a process, in place of the handlers of the test runner. */

const EVENTS = ['uncaughtException', 'unhandledRejection'] as const;

type Handler = (error: unknown) => void;

/** The errors that nothing has caught since the recording began. */
export interface UncaughtErrors {
  readonly messages: readonly string[];
  /** Ends the recording. */
  readonly stop: () => void;
}

/** @returns a recording of the errors from now on */
export function recordUncaughtErrors(): UncaughtErrors {
  const messages: string[] = [];
  const record: Handler = (error) => messages.push(String(error));
  const replaced = EVENTS.map((event) => {
    const handlers = process.listeners(event as 'uncaughtException') as Handler[];
    process.removeAllListeners(event);
    process.on(event, record);
    return { event, handlers };
  });
  const stop = (): void => {
    replaced.forEach(({ event, handlers }) => {
      process.removeAllListeners(event);
      handlers.forEach((handler) => process.on(event, handler));
    });
  };
  return { messages, stop };
}
