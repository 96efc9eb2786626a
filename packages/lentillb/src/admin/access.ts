/** Checks who may use the administration API, and which services they may change rules of. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { AccessToken, Settings } from '../kernel/settings.js';
import { diffLines } from '../rules/lineEdits.js';
import type { Rule } from '../rules/ruleForms.js';
import { parseRuleLine } from '../rules/ruleLine.js';

/** Grants a token access to the rules of all services. */
export const ALL_SERVICES = '*';

const BEARER_PATTERN = /^Bearer (\S+)$/;

/** The team that sent a request; undefined, and without limits, if no tokens are set. */
export type Team = Pick<AccessToken, 'team' | 'services'> | undefined;

/** A changed line that is outside the scope of the team. */
export interface ForbiddenLine {
  /** The removed or inserted line. */
  readonly text: string;
  /** Why the change is forbidden, and what to do. */
  readonly message: string;
}

/** Hashes a token, because the constant-time comparison needs inputs of equal length. */
function digestOf(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}

/** Returns the services that a rule affects; none if it applies to callers of all services. */
function servicesOf(rule: Rule): readonly string[] {
  const { name, service, target } = rule as Partial<Record<'name' | 'service' | 'target', string>>;
  const own = rule.kind === 'service' ? name : service;
  return [own, target].filter((each) => each !== undefined);
}

function checkLine(text: string, { team, services }: NonNullable<Team>): ForbiddenLine | undefined {
  const parsed = parseRuleLine(text);
  const rule = parsed.isOk() ? parsed.value : undefined;
  if (rule === undefined) {
    return undefined;
  }
  const affectedServices = servicesOf(rule);
  const forbiddenServices = affectedServices.filter((service) => !services.includes(service));
  if (affectedServices.length > 0 && forbiddenServices.length === 0) {
    return undefined;
  }
  const subject =
    forbiddenServices.length > 0
      ? `"${forbiddenServices.join('", "')}"`
      : 'callers of all services';
  const message = `team "${team}" may not change rules of ${subject}; ask a team whose token allows it`;
  return { text, message };
}

/** Identifies the team of a request by its token. */
export class Access {
  private readonly knownTokens: readonly { readonly digest: Buffer; readonly token: AccessToken }[];

  constructor({ settings }: { readonly settings: Pick<Settings, 'tokens'> }) {
    this.knownTokens = settings.tokens.map((token) => ({ digest: digestOf(token.token), token }));
  }

  /**
   * @param authorization - the `Authorization` header of a request
   * @returns the team that sent the request, or why it could not be identified
   */
  identify(authorization: string | undefined): Result<Team, string> {
    if (this.knownTokens.length === 0) {
      return Ok(undefined);
    }
    const bearerToken = BEARER_PATTERN.exec(authorization ?? '')?.[1];
    if (bearerToken === undefined) {
      return Err('send "Authorization: Bearer TOKEN" (lentillb: --token or LENTILLB_TOKEN)');
    }
    const digest = digestOf(bearerToken);
    // Compares every token, so that the response time does not reveal which one was close.
    const matches = this.knownTokens.filter((known) => timingSafeEqual(known.digest, digest));
    const [match] = matches;
    return match === undefined
      ? Err('the token is not valid on this node; check --token or LENTILLB_TOKEN')
      : Ok(match.token);
  }
}

/**
 * @param team - the team that publishes
 * @param before - the lines in force
 * @param after - the lines to publish
 * @returns the changed lines that the team may not change
 */
export function findForbiddenLines(
  team: Team,
  before: readonly string[],
  after: readonly string[],
): readonly ForbiddenLine[] {
  if (team === undefined || team.services.includes(ALL_SERVICES)) {
    return [];
  }
  const changed = diffLines(before, after).flatMap(({ line, remove, insert }) => [
    ...before.slice(line - 1, line - 1 + remove),
    ...insert,
  ]);
  return changed.map((text) => checkLine(text, team)).filter((line) => line !== undefined);
}
