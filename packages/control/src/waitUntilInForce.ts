import type { DirectoryEntry } from '@zincring/platform';

import { sleep } from '@zincring/core';

import type { ControlContext } from './context/controlContext.js';

/** Instance on which a version is not in force. */
export interface LaggingInstance {
  readonly instance: string;
  /** Reason why the version is not in force, as far as it is known. */
  readonly reason: string;
}

/** Instances on which a version is in force, and those on which it is not. */
export interface InForceReport {
  readonly inForce: readonly string[];
  readonly lagging: readonly LaggingInstance[];
  /** Whether the last read of the directory succeeded; if not, the lists may be incomplete. */
  readonly wasDirectoryRead: boolean;
}

const POLL_INTERVAL_MILLISECONDS = 250;
/** Number of instances that are queried concurrently. */
const BATCH_SIZE = 32;

/**
 * Waits until every live instance in the platform's directory reports a version as in force, or
 * until the time is up.
 *
 * @example
 * const report = await waitUntilInForce(context, 12, 10);
 */
export async function waitUntilInForce(
  context: ControlContext,
  version: number,
  waitSeconds: number,
): Promise<InForceReport> {
  const deadline = context.timers.now() + waitSeconds * 1_000;
  const inForce = new Set<string>();
  for (;;) {
    const listed = await context.directory.list();
    const live = listed.ok ? listed.val.filter(isLiveInstance) : [];
    const pendingInstances = live.filter(({ id }) => !inForce.has(id));
    const lagging = await findLaggingInstances(context, pendingInstances, version);
    const laggingIds = new Set(lagging.map(({ instance }) => instance));
    pendingInstances.filter(({ id }) => !laggingIds.has(id)).forEach(({ id }) => inForce.add(id));
    const isDone = listed.ok && lagging.length === 0;
    if (isDone || context.timers.now() >= deadline) {
      return { inForce: [...inForce].sort(), wasDirectoryRead: listed.ok, lagging };
    }
    await sleep(context.timers, POLL_INTERVAL_MILLISECONDS);
  }
}

/** Whether a directory entry is an instance of zincring that accepts callers. */
export function isLiveInstance(entry: DirectoryEntry): boolean {
  return entry.role.kind === 'entry' && entry.state === 'live';
}

async function findLaggingInstances(
  context: ControlContext,
  instances: readonly DirectoryEntry[],
  version: number,
): Promise<readonly LaggingInstance[]> {
  const lagging = await mapInBatches(instances, async ({ address, id }) =>
    describeLag(context, { address, id, version }),
  );
  return lagging.filter(each => each !== undefined);
}

async function describeLag(
  context: ControlContext,
  target: { readonly address: string; readonly id: string; readonly version: number },
): Promise<LaggingInstance | undefined> {
  const status = await context.operators.clientFor(target.address).status();
  if (status.err) {
    return { instance: target.id, reason: `no answer: ${status.val}` };
  }
  const { blockedReason, blockedVersion, configurationVersion } = status.val;
  if (Number(configurationVersion) >= target.version) {
    return undefined;
  }
  const reason =
    blockedVersion > 0n
      ? `cannot take up version ${blockedVersion.toString()}: ${blockedReason}`
      : `version ${configurationVersion.toString()} is in force`;
  return { instance: target.id, reason };
}

/** Applies an asynchronous function to all items, one batch of concurrent calls after another. */
export async function mapInBatches<Item, Value>(
  items: readonly Item[],
  action: (item: Item) => Promise<Value>,
): Promise<readonly Value[]> {
  const results: Value[] = [];
  for (let start = 0; start < items.length; start += BATCH_SIZE) {
    const batch = items.slice(start, start + BATCH_SIZE);
    results.push(...(await Promise.all(batch.map(action))));
  }
  return results;
}
