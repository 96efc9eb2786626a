/** Handles signals from the first moment, and passes them on once the program can use them. */

/** The signals that a process gets; tests replace it. */
export type SignalledProcess = Pick<NodeJS.Process, 'on'>;

/** The reactions of a program to signals. */
export interface SignalReactions {
  /** Handles a request to stop; called for each signal. */
  readonly stop: () => void;
  /** Handles a change of the settings file. */
  readonly reload: () => void;
  /** Handles a signal without a meaning, which would end the process if it were not handled. */
  readonly ignore: (signal: NodeJS.Signals) => void;
}

const reactionNames = {
  SIGTERM: 'stop',
  SIGINT: 'stop',
  SIGHUP: 'reload',
  // Opens a debugger if it is not handled.
  SIGUSR1: 'ignore',
  SIGUSR2: 'ignore',
  SIGALRM: 'ignore',
} as const satisfies Partial<Record<NodeJS.Signals, keyof SignalReactions>>;

/** The signals of a process. */
export class ProcessSignals {
  private reactions: SignalReactions;

  private isReloadPending = false;

  /**
   * @param ownProcess - the process
   * @param stop - handles a request to stop until the program has reactions of its own
   */
  constructor(
    private readonly ownProcess: SignalledProcess,
    stop: () => void,
  ) {
    const reload = (): void => {
      this.isReloadPending = true;
    };
    this.reactions = { stop, reload, ignore: () => undefined };
  }

  /** Sets the handlers, which stay until the process ends: a signal without one would end it. */
  handle(): void {
    Object.entries(reactionNames).forEach(([signal, reaction]) => {
      this.ownProcess.on(signal as NodeJS.Signals, () =>
        this.reactions[reaction](signal as NodeJS.Signals),
      );
    });
  }

  /**
   * Replaces the reactions, and passes on a change of the settings file that came before.
   *
   * @param reactions - the reactions from now on
   */
  react(reactions: SignalReactions): void {
    this.reactions = reactions;
    if (this.isReloadPending) {
      this.isReloadPending = false;
      reactions.reload();
    }
  }
}
