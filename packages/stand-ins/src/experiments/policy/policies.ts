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

import type { SimulatedCall } from './fleet/simulatedCall.js';
import type { RandomSource } from '../../util/randomSource.js';

import { NaiveScheduler } from './naive/naiveScheduler.js';
import { DeficitRoundRobinQueue } from './alternatives/deficitRoundRobinQueue.js';
import { FirstComeQueue } from './alternatives/firstComeQueue.js';
import {
  CallAgeOrder,
  FirstComeOrder,
  OldestProgramOrder,
  ShortestTurnOrder,
} from './alternatives/orders.js';
import { ConsistentHashChooser, LeastLoadedChooser } from './alternatives/loadTrackingChooser.js';

/** Options and dependencies of the scheduler of one instance and service. */
export interface PolicyContext {
  readonly zone: AvailabilityZone;
  readonly instanceIndex: number;
  readonly slotsPerReplica: number;
  readonly window: ConcurrencyWindowOptions;
  readonly random: RandomSource;
}

/**
 * Policies that are compared: `naive` is the baseline and `ours` the policy of the product; each of
 * the others is `ours` with its order or its choice of a replica replaced.
 */
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

const MAXIMUM_ITEMS = 20_000;
const MAXIMUM_ITEMS_PER_WORKSPACE = 10_000;
const BELOW_SHARE_OVERFLOW = 2;
const MAXIMUM_PREFIXES = 50_000;
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
      return new NaiveScheduler(context.instanceIndex);
    case 'ours':
      return createWindowedScheduler(
        context,
        createFairQueue(new AttainedServiceOrder()),
        createCostChooser(context),
      );
    case 'order: first come in all':
      return createWindowedScheduler(context, new FirstComeQueue(), createCostChooser(context));
    case 'order: first come per workspace':
      return createWindowedScheduler(
        context,
        createFairQueue(new FirstComeOrder()),
        createCostChooser(context),
      );
    case 'order: shortest turn first':
      return createWindowedScheduler(
        context,
        createFairQueue(new ShortestTurnOrder()),
        createCostChooser(context),
      );
    case 'order: call age':
      return createWindowedScheduler(
        context,
        createFairQueue(new CallAgeOrder()),
        createCostChooser(context),
      );
    case 'order: oldest program first':
      return createWindowedScheduler(
        context,
        createFairQueue(new OldestProgramOrder()),
        createCostChooser(context),
      );
    case 'order: deficit round robin':
      return createWindowedScheduler(
        context,
        new DeficitRoundRobinQueue(),
        createCostChooser(context),
      );
    case 'choice: consistent hashing':
      return createWindowedScheduler(
        context,
        createFairQueue(new AttainedServiceOrder()),
        new ConsistentHashChooser(),
      );
    case 'choice: least loaded':
      return createWindowedScheduler(
        context,
        createFairQueue(new AttainedServiceOrder()),
        new LeastLoadedChooser(),
      );
  }
}

function createWindowedScheduler(
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

function createFairQueue(order: ProgramOrder): WorkQueue<SimulatedCall> {
  return new FairWorkQueue({
    maximumItems: MAXIMUM_ITEMS,
    maximumItemsPerWorkspace: MAXIMUM_ITEMS_PER_WORKSPACE,
    order,
    weightOf: () => 1,
  });
}

function createCostChooser({ random, slotsPerReplica, zone }: PolicyContext): ReplicaChooser {
  return new CostReplicaChooser({
    batchDelayMillisecondsPerToken: BATCH_DELAY_MILLISECONDS_PER_TOKEN,
    callMilliseconds: CALL_MILLISECONDS,
    maximumPrefixes: MAXIMUM_PREFIXES,
    prefillMillisecondsPerToken: PREFILL_MILLISECONDS_PER_TOKEN,
    random: () => random.uniform(),
    sharingMilliseconds: SHARING_MILLISECONDS,
    slotsPerReplica,
    zone,
    zoneMilliseconds: ZONE_MILLISECONDS,
  });
}
