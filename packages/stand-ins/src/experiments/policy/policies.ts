import type { AvailabilityZone } from '@zincring/core';
import type {
  ConcurrencyWindowOptions,
  ProgramOrder,
  ReplicaChooser,
  ServiceScheduler,
  WorkQueue,
} from '@zincring/scheduling';

import {
  AttainedServiceOrder,
  CostReplicaChooser,
  FairWorkQueue,
  WindowedServiceScheduler,
} from '@zincring/scheduling';

import type { SimulatedCall } from './fleet/modelCall.js';
import type { RandomSource } from '../../util/randomSource.js';

import { NaiveScheduler } from './naive/naiveScheduler.js';
import { DeficitRoundRobinQueue } from './rivals/deficitRoundRobinQueue.js';
import { FirstComeQueue } from './rivals/firstComeQueue.js';
import {
  CallAgeOrder,
  FirstComeOrder,
  OldestProgramOrder,
  ShortestTurnOrder,
} from './rivals/orders.js';
import { ConsistentHashChooser, LeastLoadedChooser } from './rivals/trackedChooser.js';

/** What a scheduler of one instance and service is built from. */
export interface PolicyContext {
  readonly zone: AvailabilityZone;
  readonly instanceNumber: number;
  readonly slotsPerReplica: number;
  readonly window: ConcurrencyWindowOptions;
  readonly random: RandomSource;
}

/** The policies that are compared: the naive version, ours, and ours with one part replaced. */
export const policyNames = [
  'naive',
  'ours',
  'order: first come in all',
  'order: first come per workspace',
  'order: shortest turn first',
  'order: call age',
  'order: oldest program first',
  'order: deficit round robin',
  'choice: consistent hashing',
  'choice: least loaded',
] as const;

/** Name of one policy. */
export type PolicyName = (typeof policyNames)[number];

const MAX_ITEMS = 20_000;
const MAX_ITEMS_PER_WORKSPACE = 10_000;
const BELOW_SHARE_OVERFLOW = 2;
const MAX_PREFIXES = 50_000;
const SUSPICION_MILLISECONDS = 5_000;
const PREFILL_MILLISECONDS_PER_TOKEN = 0.17;
const BATCH_DELAY_MILLISECONDS_PER_TOKEN = 0.06;
const CALL_MILLISECONDS = 4_000;
const ZONE_MILLISECONDS = 2;
const SHARING_MILLISECONDS = 50;

/**
 * Builds the scheduler of one instance and service.
 *
 * @example
 * const scheduler = createScheduler('ours', context);
 */
export function createScheduler(
  name: PolicyName,
  context: PolicyContext,
): ServiceScheduler<SimulatedCall> {
  switch (name) {
    case 'naive':
      return new NaiveScheduler(context.instanceNumber);
    case 'ours':
      return windowed(context, fairQueue(new AttainedServiceOrder()), costChooser(context));
    case 'order: first come in all':
      return windowed(context, new FirstComeQueue(), costChooser(context));
    case 'order: first come per workspace':
      return windowed(context, fairQueue(new FirstComeOrder()), costChooser(context));
    case 'order: shortest turn first':
      return windowed(context, fairQueue(new ShortestTurnOrder()), costChooser(context));
    case 'order: call age':
      return windowed(context, fairQueue(new CallAgeOrder()), costChooser(context));
    case 'order: oldest program first':
      return windowed(context, fairQueue(new OldestProgramOrder()), costChooser(context));
    case 'order: deficit round robin':
      return windowed(context, new DeficitRoundRobinQueue(), costChooser(context));
    case 'choice: consistent hashing':
      return windowed(context, fairQueue(new AttainedServiceOrder()), new ConsistentHashChooser());
    case 'choice: least loaded':
      return windowed(context, fairQueue(new AttainedServiceOrder()), new LeastLoadedChooser());
  }
}

function windowed(
  { window }: PolicyContext,
  queue: WorkQueue<SimulatedCall>,
  chooser: ReplicaChooser,
): ServiceScheduler<SimulatedCall> {
  return new WindowedServiceScheduler({
    belowShareOverflow: BELOW_SHARE_OVERFLOW,
    chooser,
    queue,
    suspicionMilliseconds: SUSPICION_MILLISECONDS,
    window,
  });
}

function fairQueue(order: ProgramOrder): WorkQueue<SimulatedCall> {
  return new FairWorkQueue({
    maxItems: MAX_ITEMS,
    maxItemsPerWorkspace: MAX_ITEMS_PER_WORKSPACE,
    order,
    weightOf: () => 1,
  });
}

function costChooser({ random, slotsPerReplica, zone }: PolicyContext): ReplicaChooser {
  return new CostReplicaChooser({
    batchDelayMillisecondsPerToken: BATCH_DELAY_MILLISECONDS_PER_TOKEN,
    callMilliseconds: CALL_MILLISECONDS,
    maxPrefixes: MAX_PREFIXES,
    prefillMillisecondsPerToken: PREFILL_MILLISECONDS_PER_TOKEN,
    random: () => random.uniform(),
    sharingMilliseconds: SHARING_MILLISECONDS,
    slotsPerReplica,
    zone,
    zoneMilliseconds: ZONE_MILLISECONDS,
  });
}
