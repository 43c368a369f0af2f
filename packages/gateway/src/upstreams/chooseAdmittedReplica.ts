import type { ReplicaPermits } from './permits/replicaPermits.js';
import type { ReplicaEntry, ReplicaRunId } from './replica.js';
import type { PoolRequest } from './replicaPool.js';

/** Chooses the best replica for a request. */
export interface ReplicaChooser {
  choose(request: PoolRequest): ReplicaEntry | undefined;
}

/** A replica that accepts a request, or the time until one may. */
export type AdmittedReplica =
  | {
      readonly kind: 'admitted';
      readonly entry: ReplicaEntry;
      /** Time after which the request may be sent, in milliseconds. */
      readonly delayMilliseconds: number;
    }
  | {
      readonly kind: 'none';
      /** Time until a replica has a permit again, in milliseconds; `undefined` if none would be left even then. */
      readonly retryAfterMilliseconds: number | undefined;
    };

/** Number of owners that are asked for a permit for one attempt: each costs a round trip between instances. */
const MAXIMUM_ASKED = 3;

/**
 * Chooses the best replica for which there is a permit. Under a load that some replicas limit, the
 * others take what exceeds the limits. Under a load that all replicas limit, the request waits for the
 * earliest permit within the maximum wait, and is refused at once if there is none.
 *
 * @param maximumWaitMilliseconds maximum wait for a permit
 * @example
 * const admitted = await chooseAdmittedReplica(pool, permits, poolRequest, 400);
 */
export async function chooseAdmittedReplica(
  pool: ReplicaChooser,
  permits: ReplicaPermits,
  request: PoolRequest,
  maximumWaitMilliseconds: number,
): Promise<AdmittedReplica> {
  const withheld = new Map<ReplicaRunId, ReplicaEntry>();
  let askedCount = 0;
  for (;;) {
    const excluded = new Set([...request.excluded, ...withheld.keys()]);
    const entry = pool.choose({ ...request, excluded });
    if (entry === undefined) {
      return await waitForPermit(permits, [...withheld.values()], maximumWaitMilliseconds);
    }
    if (!permits.isLimited(entry)) {
      return { delayMilliseconds: 0, entry, kind: 'admitted' };
    }
    if (permits.expectedDelayMilliseconds(entry) === 0 && askedCount < MAXIMUM_ASKED) {
      askedCount++;
      const permit = await permits.acquire(entry, 0);
      if (permit.kind === 'granted') {
        return { ...permit, entry, kind: 'admitted' };
      }
    }
    withheld.set(entry.runId, entry);
  }
}

/** Takes the permit that is expected first; asks again while the owners know of longer delays than this instance. */
async function waitForPermit(
  permits: ReplicaPermits,
  entries: readonly ReplicaEntry[],
  maximumWaitMilliseconds: number,
): Promise<AdmittedReplica> {
  for (let asked = 0; asked < MAXIMUM_ASKED; asked++) {
    const entry = findEarliest(permits, entries);
    if (entry === undefined) {
      return { kind: 'none', retryAfterMilliseconds: undefined };
    }
    const permit = await permits.acquire(entry, maximumWaitMilliseconds);
    if (permit.kind === 'granted') {
      return { ...permit, entry, kind: 'admitted' };
    }
  }
  const delays = entries.map(entry => permits.expectedDelayMilliseconds(entry));
  return { kind: 'none', retryAfterMilliseconds: Math.min(...delays) };
}

function findEarliest(
  permits: ReplicaPermits,
  entries: readonly ReplicaEntry[],
): ReplicaEntry | undefined {
  const delays = entries.map(entry => permits.expectedDelayMilliseconds(entry));
  return entries[delays.indexOf(Math.min(...delays))];
}
