/** Who may use the administration API, and which services' rules they may change. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { AccessToken, Settings } from '../kernel/settings.js';
import { editsBetween } from '../rules/lineEdits.js';
import type { Rule } from '../rules/ruleForms.js';
import { parseRuleLine } from '../rules/ruleLine.js';

/** Stands for every service in a token's scope. */
export const EVERY_SERVICE = '*';

const BEARER = /^Bearer (\S+)$/;

/** The team behind a request; undefined where no tokens are set and everybody may do everything. */
export type Team = Pick<AccessToken, 'team' | 'services'> | undefined;

/** A changed line that a team may not change. */
export interface ForbiddenLine {
  /** The line as it was or would be. */
  readonly text: string;
  /** Why, and what to do. */
  readonly message: string;
}

/** Digests have equal lengths, as the constant-time comparison needs. */
function digestOf(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}

/** The services a rule is about; none where it concerns callers of all services. */
function servicesOf(rule: Rule): readonly string[] {
  const { name, service, target } = rule as Partial<Record<'name' | 'service' | 'target', string>>;
  const own = rule.kind === 'service' ? name : service;
  return [own, target].filter((each) => each !== undefined);
}

function forbiddenLine(
  text: string,
  { team, services }: NonNullable<Team>,
): ForbiddenLine | undefined {
  const parsed = parseRuleLine(text);
  const rule = parsed.isOk() ? parsed.value : undefined;
  if (rule === undefined) {
    return undefined;
  }
  const concerned = servicesOf(rule);
  const outside = concerned.filter((service) => !services.includes(service));
  if (concerned.length > 0 && outside.length === 0) {
    return undefined;
  }
  const what = outside.length > 0 ? `"${outside.join('", "')}"` : 'callers of all services';
  const message = `team "${team}" may not change rules of ${what}; ask a team whose token may`;
  return { text, message };
}

/** Checks tokens and their scopes. */
export class Access {
  private readonly known: readonly { readonly digest: Buffer; readonly token: AccessToken }[];

  constructor({ settings }: { readonly settings: Pick<Settings, 'tokens'> }) {
    this.known = settings.tokens.map((token) => ({ digest: digestOf(token.token), token }));
  }

  /**
   * @param authorization - the `Authorization` header of a request
   * @returns the team behind it, or why there is none
   */
  identify(authorization: string | undefined): Result<Team, string> {
    if (this.known.length === 0) {
      return Ok(undefined);
    }
    const given = BEARER.exec(authorization ?? '')?.[1];
    if (given === undefined) {
      return Err('send "Authorization: Bearer TOKEN" (lentillb: --token or LENTILLB_TOKEN)');
    }
    const digest = digestOf(given);
    // Every token is compared, so that the time says nothing about which one was close.
    const matches = this.known.filter((known) => timingSafeEqual(known.digest, digest));
    const [match] = matches;
    return match === undefined ? Err('the token is not known here') : Ok(match.token);
  }
}

/**
 * @param team - who publishes
 * @param before - the lines in force
 * @param after - the lines to publish
 * @returns the changed lines that the team may not change
 */
export function forbiddenLines(
  team: Team,
  before: readonly string[],
  after: readonly string[],
): readonly ForbiddenLine[] {
  if (team === undefined || team.services.includes(EVERY_SERVICE)) {
    return [];
  }
  const changed = editsBetween(before, after).flatMap(({ line, remove, insert }) => [
    ...before.slice(line - 1, line - 1 + remove),
    ...insert,
  ]);
  return changed.map((text) => forbiddenLine(text, team)).filter((line) => line !== undefined);
}
