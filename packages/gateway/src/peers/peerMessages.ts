import type { NamedRateLimit } from '../limits/creditSource.js';
import type { TurnDemand } from '../programs/tokenAccounts.js';

/** Settlement of a reservation, as another instance sends it. */
export interface Settlement {
  readonly reservation: string;
  readonly deliveredTokens: number;
}

/** A JSON value of any shape. */
type JsonFields = Readonly<Record<string, unknown>>;

/**
 * Reads the bucket of a call for credit; `undefined` if the text is no such message.
 *
 * @example
 * parseBucket('{"burst":20,"name":"clerks","ratePerSecond":10}');
 */
export function parseBucket(text: string): NamedRateLimit | undefined {
  const { burst, name, ratePerSecond, slackShare = 1 } = parseFields(text);
  return isNumber(burst) &&
    isNumber(ratePerSecond) &&
    isNumber(slackShare) &&
    typeof name === 'string'
    ? { burst, name, ratePerSecond, slackShare }
    : undefined;
}

/**
 * Reads the demand of a call for tokens; `undefined` if the text is no such message.
 *
 * @example
 * parseDemand(JSON.stringify(demand));
 */
export function parseDemand(text: string): TurnDemand | undefined {
  const { budget, expiresAt, hasEarlierTurns, maximumTokens, program, reservation } =
    parseFields(text);
  return isNumber(budget) &&
    isNumber(expiresAt) &&
    isNumber(maximumTokens) &&
    typeof hasEarlierTurns === 'boolean' &&
    typeof program === 'string' &&
    typeof reservation === 'string'
    ? { budget, expiresAt, hasEarlierTurns, maximumTokens, program, reservation }
    : undefined;
}

/**
 * Reads a settlement; `undefined` if the text is no such message.
 *
 * @example
 * parseSettlement('{"deliveredTokens":253,"reservation":"run-1.7"}');
 */
export function parseSettlement(text: string): Settlement | undefined {
  const { deliveredTokens, reservation } = parseFields(text);
  return isNumber(deliveredTokens) && typeof reservation === 'string'
    ? { deliveredTokens, reservation }
    : undefined;
}

function parseFields(text: string): JsonFields {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? (value as JsonFields) : {};
  } catch {
    return {};
  }
}

function isNumber(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value);
}
