/** Limits that no configuration can raise. */

/** The longest request head that the parser accepts, in bytes; a configuration may set a lower limit. */
export const MAX_HEAD_BYTES = 64 * 1024;
/** The maximum time to receive a whole request, in milliseconds: the largest body on a slow connection. */
export const REQUEST_TIMEOUT_MS = 60_000;
