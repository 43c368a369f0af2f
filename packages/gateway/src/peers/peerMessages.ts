import type { WorkspaceTurnCounts } from '@zincring/scheduling';

import type { NamedRateLimit } from '../limits/creditSource.js';
import type { TurnDemand } from '../programs/tokenAccounts.js';
import type { AnnouncedRate } from '../upstreams/permits/announcedRate.js';
import type { PermitRequest, RateReport } from '../upstreams/permits/permitOwner.js';
import type { EngineTurnCounts } from '../upstreams/load/engineLoads.js';
import type { SlownessReport } from '../upstreams/load/slownessReports.js';
import type { ReplicaRunId } from '../upstreams/replica.js';
import type { JsonFields } from '../util/jsonFields.js';

import { isNumber, toFields } from '../util/jsonFields.js';

/** Settlement of a reservation, as another instance sends it. */
export interface Settlement {
  readonly reservation: string;
  readonly deliveredTokens: number;
}

/** Maximum number of workspaces that are read from one reply. */
const MAXIMUM_WORKSPACES = 16;

/**
 * Reads the bucket of a call for credit; `undefined` if the text is no such message.
 *
 * @example
 * parseBucket('{"burst":20,"name":"clerks","ratePerSecond":10}');
 */
export function parseBucket(text: string): NamedRateLimit | undefined {
  const { burst, inUseMilliseconds, name, ratePerSecond, slackShare = 1 } = parseFields(text);
  return isNumber(burst) &&
    isNumber(ratePerSecond) &&
    isNumber(slackShare) &&
    typeof name === 'string'
    ? {
        burst,
        name,
        ratePerSecond,
        slackShare,
        ...(isNumber(inUseMilliseconds) ? { inUseMilliseconds } : {}),
      }
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

/**
 * Reads a request for a permit; `undefined` if the text is no such message.
 *
 * @example
 * parsePermitRequest('{"announced":{"ageMilliseconds":40,"requestsPerSecond":3},"maximumWaitMilliseconds":0,"replica":"r1@1"}');
 */
export function parsePermitRequest(text: string): PermitRequest | undefined {
  const report = parseRateReport(text);
  const { burstMilliseconds, maximumWaitMilliseconds } = parseFields(text);
  return report !== undefined && isNumber(maximumWaitMilliseconds)
    ? {
        ...report,
        ...(isNumber(burstMilliseconds) ? { burstMilliseconds } : {}),
        maximumWaitMilliseconds,
      }
    : undefined;
}

/**
 * Reads a report of the rate of a replica; `undefined` if the text is no such message.
 *
 * @example
 * parseRateReport('{"announced":{"ageMilliseconds":40},"replica":"r1@1"}');
 */
export function parseRateReport(text: string): RateReport | undefined {
  const { announced, replica } = parseFields(text);
  const rate = readAnnouncedRate(announced);
  return rate !== undefined && typeof replica === 'string'
    ? { announced: rate, replica: replica as ReplicaRunId }
    : undefined;
}

/**
 * Reads the turns that an instance has in flight at engines; `undefined` if the value is none, as in
 * replies of builds up to 1a7a5bb.
 *
 * @example
 * parseEngineTurns({ 'minutes-llm': 3 });
 */
export function parseEngineTurns(value: unknown): EngineTurnCounts | undefined {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }
  const counts = Object.entries(value).filter((entry): entry is [string, number] =>
    isNumber(entry[1]),
  );
  return Object.fromEntries(counts);
}

/**
 * Reads the measurements of replicas that an instance tells of; none if the value is no list, as in
 * replies of builds up to 09ca40e.
 *
 * @example
 * parseSlownessReports([['r1@1', 2.5, 40]]); // [{ ageMilliseconds: 40, ratio: 2.5, run: 'r1@1' }]
 */
export function parseSlownessReports(value: unknown): readonly SlownessReport[] {
  if (!Array.isArray(value)) {
    return [];
  }
  return value.flatMap((item: unknown) => {
    const [run, ratio, ageMilliseconds] = Array.isArray(item) ? (item as unknown[]) : [];
    return typeof run === 'string' && isNumber(ratio) && isNumber(ageMilliseconds)
      ? [{ ageMilliseconds, ratio, run: run as ReplicaRunId }]
      : [];
  });
}

/**
 * Writes measurements as {@link parseSlownessReports} reads them; `undefined` if there are none.
 *
 * @example
 * formatSlownessReports(costs.ownReports);
 */
export function formatSlownessReports(
  reports: readonly SlownessReport[],
): readonly unknown[] | undefined {
  return reports.length === 0
    ? undefined
    : reports.map(({ ageMilliseconds, ratio, run }) => [run, ratio, ageMilliseconds]);
}

/**
 * Reads the turns that an instance has in flight by workspace; `undefined` if the value is none, as in
 * replies of builds up to 09ca40e and of instances whose engines have room.
 *
 * @example
 * parseWorkspaceTurns({ clerks: 3, '': 2 });
 */
export function parseWorkspaceTurns(value: unknown): WorkspaceTurnCounts | undefined {
  const counts = parseEngineTurns(value);
  return counts && Object.fromEntries(Object.entries(counts).slice(0, MAXIMUM_WORKSPACES));
}

/**
 * Reads the rate of a replica as another instance observed it; `undefined` if the value is none.
 *
 * @example
 * readAnnouncedRate({ ageMilliseconds: 40, requestsPerSecond: 3 });
 */
export function readAnnouncedRate(value: unknown): AnnouncedRate | undefined {
  const { ageMilliseconds, requestsPerSecond } = toFields(value);
  const isRate =
    requestsPerSecond === undefined || (isNumber(requestsPerSecond) && requestsPerSecond >= 0);
  return isNumber(ageMilliseconds) && isRate ? { ageMilliseconds, requestsPerSecond } : undefined;
}

function parseFields(text: string): JsonFields {
  try {
    return toFields(JSON.parse(text));
  } catch {
    return {};
  }
}
