/** Describes what nodes tell each other about a request that one of them has sent to the other. */

/** What a gate knows of a request. */
export const DeliveryState = {
  /** It has not run. If it arrives later, the gate refuses it. */
  NotRun: 'not-run',
  /** It waits or runs. */
  InProgress: 'in-progress',
  /** It may have run, and its answer has been sent. */
  Ended: 'ended',
} as const;
export type DeliveryState = (typeof DeliveryState)[keyof typeof DeliveryState];

/** The reply to the question what has become of a request. */
export interface DeliveryReply {
  /** The key under which the request was sent. */
  readonly key: string;
  readonly state: DeliveryState;
  /** The identity of the process that replies; one that started later knows nothing of the request. */
  readonly processId: number;
}
