import type { DirectoryEntry } from '@zincring/platform';

import { sleep } from '@zincring/core';

import type { ControlContext } from './context/controlContext.js';

/** An instance on which a version is not in force. */
export interface LaggingInstance {
  readonly instance: string;
  /** Why, as far as it is known. */
  readonly reason: string;
}

/** On which instances a version is in force. */
export interface InForceReport {
  readonly inForce: readonly string[];
  readonly lagging: readonly LaggingInstance[];
  /** Whether the platform's list could be read; without it nothing is certain. */
  readonly isListKnown: boolean;
}

const PAUSE_MILLISECONDS = 250;
/** Instances asked at the same time. */
const INSTANCES_AT_ONCE = 32;

/**
 * Waits until every live instance of the platform's list reports a version in force.
 *
 * @example
 * const report = await waitInForce(context, 12, 10);
 */
export async function waitInForce(
  context: ControlContext,
  version: number,
  waitSeconds: number,
): Promise<InForceReport> {
  const giveUpAt = context.timers.now() + waitSeconds * 1_000;
  const inForce = new Set<string>();
  for (;;) {
    const listed = await context.directory.list();
    const live = listed.ok ? listed.val.filter(isLiveInstance) : [];
    const missing = live.filter(({ id }) => !inForce.has(id));
    const lagging = await findLagging(context, missing, version);
    const names = new Set(lagging.map(({ instance }) => instance));
    missing.filter(({ id }) => !names.has(id)).forEach(({ id }) => inForce.add(id));
    const isDone = listed.ok && lagging.length === 0;
    if (isDone || context.timers.now() >= giveUpAt) {
      return { inForce: [...inForce].sort(), isListKnown: listed.ok, lagging };
    }
    await sleep(context.timers, PAUSE_MILLISECONDS);
  }
}

/** Whether an entry of the platform's list is an instance that takes callers. */
export function isLiveInstance(entry: DirectoryEntry): boolean {
  return entry.role.kind === 'entry' && entry.state === 'live';
}

async function findLagging(
  context: ControlContext,
  instances: readonly DirectoryEntry[],
  version: number,
): Promise<readonly LaggingInstance[]> {
  const lagging = await inBatches(instances, async ({ address, id }) =>
    describeLag(context, { address, id, version }),
  );
  return lagging.filter(each => each !== undefined);
}

async function describeLag(
  context: ControlContext,
  target: { readonly address: string; readonly id: string; readonly version: number },
): Promise<LaggingInstance | undefined> {
  const status = await context.operators.at(target.address).status();
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

/** Does something for each item, a bounded number at a time. */
export async function inBatches<Item, Outcome>(
  items: readonly Item[],
  action: (item: Item) => Promise<Outcome>,
): Promise<readonly Outcome[]> {
  const outcomes: Outcome[] = [];
  for (let start = 0; start < items.length; start += INSTANCES_AT_ONCE) {
    const batch = items.slice(start, start + INSTANCES_AT_ONCE);
    outcomes.push(...(await Promise.all(batch.map(action))));
  }
  return outcomes;
}
