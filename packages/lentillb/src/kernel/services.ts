/** Declares the services of a node. Every plug-in adds its own by declaration merging. */
import type Logger from 'bunyan';
import type { Clock } from './clock.js';
import type { Identity } from './identity.js';
import type { Randomness } from './randomness.js';
import type { Settings } from './settings.js';

/** The services that the kernel itself provides. Plug-ins extend this interface. */
export interface Services {
  readonly clock: Clock;
  readonly identity: Identity;
  readonly logger: Logger;
  readonly randomness: Randomness;
  readonly settings: Settings;
  /** Aborted when the node stops, to end the waits of background tasks. */
  readonly stopping: AbortSignal;
}
