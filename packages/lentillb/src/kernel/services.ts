/** The services that plug-ins offer each other; every plug-in adds its own by declaration merging. */
import type Logger from 'bunyan';
import type { Clock } from './clock.js';
import type { Identity } from './identity.js';
import type { Randomness } from './randomness.js';
import type { Settings } from './settings.js';

/** What the kernel itself provides. Plug-ins extend this interface. */
export interface Services {
  readonly clock: Clock;
  readonly identity: Identity;
  readonly logger: Logger;
  readonly randomness: Randomness;
  readonly settings: Settings;
  /** Aborted when the process begins to stop; ends waits of background tasks. */
  readonly stopping: AbortSignal;
}
