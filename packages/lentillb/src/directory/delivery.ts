/** Describes what nodes tell each other about a request that one of them has sent to the other. */

/** What a gate knows of a request. */
export const DeliveryState = {
  /** It has not arrived, but may still do so. */
  NotArrived: 'not-arrived',
  /** It has not run. If it arrives later, the gate refuses it. */
  NotRun: 'not-run',
  /** It waits or runs. */
  InProgress: 'in-progress',
  /** It may have run, and its answer has been sent. */
  Ended: 'ended',
} as const;
export type DeliveryState = (typeof DeliveryState)[keyof typeof DeliveryState];

/** The question what has become of a request. */
export interface DeliveryQuestion {
  /** The key under which the request was sent. */
  readonly key: string;
  /**
   * The process that was heard at the gate before the request was sent; undefined if none was. Only
   * this process can promise that the request will not run: another one may have got it.
   */
  readonly processId: number | undefined;
}

/** The reply to several questions. */
export interface DeliveryReply {
  /** The states of the requests, in the order of the questions. */
  readonly states: readonly DeliveryState[];
  /** The identity of the process that replies; undefined if it does not name itself. */
  readonly processId: number | undefined;
}
