/**
 * Chooses the allocator of a group of customers. The hosts with the best ranks for the group are its
 * voters. A voter promises its support to one candidate at a time and for a limited time, so that at
 * most one host has the promises of more than half of the voters, also while hosts can't hear each
 * other. Times are monotonic and in milliseconds.
 */
import type { Clock } from '../kernel/clock.js';
import { hash32 } from '../utils/hash.js';
import type { PollMessage, VoteMessage } from './allotmentMessage.js';
import { AllotmentMessageKind, VoteAnswer } from './allotmentMessage.js';
import { deleteEarlier } from './sentTimes.js';

/** The number of voters of a group; a fixed number keeps the cost independent of the number of hosts. */
export const MAX_VOTERS = 9;
/** The validity of a promise; leases last long enough for the election of a successor. */
export const PROMISE_MS = 3_000;
/** The time by which a candidate ends promises earlier than voters, for clocks that run differently. */
const PROMISE_MARGIN_MS = 200;
/**
 * The time for which the voters must not have changed before a host becomes a candidate: a round of polls.
 * While hosts that start together learn of each other, some would otherwise elect one among themselves. With
 * 1,000 ms, nothing was granted in the first second after a restart of all hosts.
 */
const SETTLE_MS = 400;
/** The time by which each next rank becomes a candidate later, so that few compete. */
const RANK_DELAY_MS = 700;
/** The time for which the former voters of a group must support a candidate, too, after a change. */
const FORMER_VOTERS_MS = 15_000;

/** What a mandate depends on. */
export interface MandateServices {
  readonly clock: Clock;
  /** The address of this host. */
  readonly host: string;
  /** Sends a message to a host. */
  readonly send: (host: string, message: PollMessage) => void;
}

interface Vote {
  readonly untilMs: number;
  /** Whether the voter may have promised its support to another host before it started. */
  readonly isAfterStart: boolean;
}

/**
 * Ranks the hosts of a group by rendezvous hashing.
 *
 * @param group - the number of the group
 * @param hosts - the addresses of the hosts that may be chosen
 * @returns the voters, in the order in which they become candidates
 */
export function rankVoters(group: number, hosts: readonly string[]): readonly string[] {
  return hosts
    .map((host) => ({ host, score: hash32(`${group} ${host}`) }))
    .sort((left, right) => right.score - left.score || (left.host < right.host ? -1 : 1))
    .slice(0, MAX_VOTERS)
    .map(({ host }) => host);
}

/** The part that this host takes in choosing the allocator of one group, as voter and as candidate. */
export class Mandate {
  private voters: readonly string[] = [];

  private votersHash = 0;

  private formerVoters: readonly string[] = [];

  private formerUntilMs = -Infinity;

  private promise: { readonly host: string; readonly untilMs: number } | undefined;

  /** Whether this process may have made a promise before it started. */
  private isFresh = true;

  private readonly startedAtMs: number;

  private standsFromMs: number;

  private isCandidate = false;

  private round = 0;

  private readonly sentAtMs = new Map<number, number>();

  private readonly votes = new Map<string, Vote>();

  /**
   * @param services - what the mandate depends on
   * @param group - the number of the group
   */
  constructor(
    private readonly services: MandateServices,
    private readonly group: number,
  ) {
    this.startedAtMs = services.clock.monotonicMs();
    this.standsFromMs = this.startedAtMs;
  }

  /** Whether this host is the allocator now. */
  get isHeld(): boolean {
    const nowMs = this.services.clock.monotonicMs();
    return (
      this.isCandidate &&
      this.hasQuorum(this.voters, nowMs) &&
      (nowMs >= this.formerUntilMs || this.hasQuorum(this.formerVoters, nowMs))
    );
  }

  /** Whether all voters support this host and none may have supported another before its start. */
  get isFirst(): boolean {
    const nowMs = this.services.clock.monotonicMs();
    return (
      this.isUnanimous(this.voters, nowMs) &&
      [...this.votes.values()].every((vote) => vote.isAfterStart)
    );
  }

  /** The host that this one supports. */
  get supported(): string | undefined {
    const { promise } = this;
    return promise !== undefined && promise.untilMs > this.services.clock.monotonicMs()
      ? promise.host
      : undefined;
  }

  /**
   * Takes a change of the voters into account.
   *
   * @param voters - the voters in the order of their ranks
   */
  updateVoters(voters: readonly string[]): void {
    const votersHash = hash32(voters.join(' '));
    if (votersHash === this.votersHash) {
      return;
    }
    const nowMs = this.services.clock.monotonicMs();
    if (nowMs >= this.formerUntilMs) {
      this.formerVoters = this.voters;
    }
    if (this.formerVoters.length > 0) {
      this.formerUntilMs = nowMs + FORMER_VOTERS_MS;
    }
    this.voters = voters;
    this.votersHash = votersHash;
    if (!this.isHeld) {
      this.withdraw();
    }
    this.standsFromMs = Math.max(this.standsFromMs, nowMs + SETTLE_MS);
  }

  /** Becomes a candidate if no other host is, and asks the voters for their support while it is one. */
  poll(): void {
    const { clock, host, send } = this.services;
    const nowMs = clock.monotonicMs();
    if (this.rank < 0) {
      this.defer();
      return;
    }
    this.isCandidate ||= nowMs >= this.standsFromMs + this.rank * RANK_DELAY_MS;
    if (!this.isCandidate) {
      return;
    }
    this.round += 1;
    this.sentAtMs.set(this.round, nowMs);
    deleteEarlier(this.sentAtMs, nowMs - PROMISE_MS);
    const message: PollMessage = {
      kind: AllotmentMessageKind.Poll,
      group: this.group,
      round: this.round,
      votersHash: this.votersHash,
      unanimous: this.isUnanimous(this.voters, nowMs) ? 1 : 0,
    };
    const former = nowMs < this.formerUntilMs ? this.formerVoters : [];
    new Set([...this.voters, ...former]).forEach((voter) => {
      if (voter !== host) {
        send(voter, message);
      }
    });
    this.receiveVote(host, this.receivePoll(host, message));
  }

  /**
   * Decides on the request of a candidate.
   *
   * @param candidate - the address of its host
   * @param message - the request
   * @returns the answer
   */
  receivePoll(candidate: string, { round, unanimous, votersHash }: PollMessage): VoteMessage {
    const { clock, host } = this.services;
    const nowMs = clock.monotonicMs();
    const { group, supported } = this;
    const answer = (value: VoteAnswer, supportedHost?: string): VoteMessage => ({
      kind: AllotmentMessageKind.Vote,
      group,
      round,
      answer: value,
      supportedHash: supportedHost === undefined ? 0 : hash32(supportedHost),
    });
    // Voters that know of other voters can't tell that a majority is one.
    if (votersHash !== this.votersHash) {
      return answer(VoteAnswer.Refused);
    }
    if (supported !== undefined && supported !== candidate) {
      return answer(VoteAnswer.Refused, supported);
    }
    this.promise = { host: candidate, untilMs: nowMs + PROMISE_MS };
    if (candidate !== host) {
      this.defer();
    }
    this.isFresh &&= unanimous === 0 && nowMs < this.startedAtMs + PROMISE_MS;
    return answer(this.isFresh ? VoteAnswer.PromisedAfterStart : VoteAnswer.Promised, candidate);
  }

  /**
   * Records the answer of a voter.
   *
   * @param voter - the address of its host
   * @param message - the answer
   */
  receiveVote(voter: string, { answer, round, supportedHash }: VoteMessage): void {
    const sentAtMs = this.sentAtMs.get(round);
    if (!this.isCandidate || sentAtMs === undefined) {
      return;
    }
    if (answer !== VoteAnswer.Refused) {
      const untilMs = sentAtMs + PROMISE_MS - PROMISE_MARGIN_MS;
      this.votes.set(voter, { untilMs, isAfterStart: answer === VoteAnswer.PromisedAfterStart });
    } else if (supportedHash !== 0 && !this.isHeld) {
      this.defer();
    }
  }

  private get rank(): number {
    return this.voters.indexOf(this.services.host);
  }

  /** Ends the candidacy and the mandate, and with them the support of this host for itself. */
  private withdraw(): void {
    this.isCandidate = false;
    this.votes.clear();
    this.sentAtMs.clear();
    if (this.promise?.host === this.services.host) {
      this.promise = undefined;
    }
  }

  /** Ends the candidacy until no candidate has been heard for the time of a promise. */
  private defer(): void {
    this.withdraw();
    this.standsFromMs = this.services.clock.monotonicMs() + PROMISE_MS;
  }

  private hasQuorum(voters: readonly string[], nowMs: number): boolean {
    const supporters = voters.filter((voter) => {
      const vote = this.votes.get(voter);
      return vote !== undefined && vote.untilMs > nowMs && !vote.isAfterStart;
    });
    return supporters.length * 2 > voters.length || this.isUnanimous(voters, nowMs);
  }

  /** An allocator is one of the voters, so no other one exists while all of them support this host. */
  private isUnanimous(voters: readonly string[], nowMs: number): boolean {
    // A host that knows only itself waits until it can't have promised anything before its start.
    return (
      voters.length > 1 && voters.every((voter) => (this.votes.get(voter)?.untilMs ?? 0) > nowMs)
    );
  }
}
