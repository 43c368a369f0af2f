import type { WorkspaceName } from '@zincring/core';

import type { HeapEntry } from './lazyHeap.js';
import type { ProgramOrder } from './programOrder.js';
import type { PushOutcome, QueueItem, RunnablePredicate, WorkId, WorkQueue } from './workQueue.js';

import { trimOldest } from '../util/trimOldest.js';
import { LazyHeap } from './lazyHeap.js';
import { AttainedServiceOrder } from './programOrder.js';

/** Options of a {@link FairWorkQueue}: limits, weights and order. */
export interface FairWorkQueueOptions {
  /** Maximum number of waiting items. */
  readonly maximumItems: number;
  /** Maximum number of waiting items of one workspace. */
  readonly maximumItemsPerWorkspace: number;
  /** Returns the relative share of a workspace when workspaces compete; above 0. */
  readonly weightOf: (workspace: WorkspaceName) => number;
  /** Order within a workspace; least attained service by default. */
  readonly order?: ProgramOrder;
  /**
   * Maximum lead of a workspace of weight 1 over the virtual time, in tokens; use beyond it is not
   * counted. It bounds how long the use of spare capacity at other instances counts against a
   * workspace.
   */
  readonly maximumLeadTokens?: number;
}

const DEFAULT_MAXIMUM_LEAD_TOKENS = 500_000;
/** Maximum number of workspaces that one pop checks for an item that can run. */
const MAXIMUM_WORKSPACES_PER_POP = 32;
/** Maximum number of items that one pop checks in each workspace. */
const MAXIMUM_ITEMS_CHECKED_PER_WORKSPACE = 4;
/**
 * Maximum number of popped items whose actual cost is not known yet; the oldest are dropped and
 * stay charged with their estimate.
 */
const MAXIMUM_UNSETTLED_ITEMS = 100_000;
/**
 * Number of workspaces that may be added between two sweeps, in addition to as many as the last
 * sweep kept.
 */
const SWEEP_ALLOWANCE = 16;
/**
 * Number of workspaces above which a sweep drops all that are idle, even those with use to be
 * counted against them.
 */
const MAXIMUM_IDLE_WORKSPACES = 16_384;

interface WaitingEntry<Item extends QueueItem> extends HeapEntry {
  readonly item: Item;
  readonly flow: Flow<Item>;
}

interface FlowEntry<Item extends QueueItem> extends HeapEntry {
  readonly flow: Flow<Item>;
}

interface Flow<Item extends QueueItem> {
  readonly workspace: WorkspaceName;
  readonly waiting: LazyHeap<WaitingEntry<Item>>;
  /**
   * Finish tag of start-time fair queueing: the virtual time at which the service charged so far
   * ends.
   */
  finishTag: number;
  /** Entry in the heap of active flows; `undefined` while no work waits. */
  heapEntry: FlowEntry<Item> | undefined;
}

interface UnsettledItem {
  readonly workspace: WorkspaceName;
  readonly estimatedTokens: number;
}

/**
 * Queue with start-time fair queueing between workspaces, by tokens and weight, and a
 * {@link ProgramOrder} within each workspace. Every operation takes logarithmic time in the number
 * of items and workspaces.
 *
 * @example
 * const queue = new FairWorkQueue({ maxItems: 10_000, maxItemsPerWorkspace: 2_000, weightOf });
 * queue.push(item, timers.now());
 * const next = queue.pop(timers.now(), candidate => chooser.choose(candidate) !== undefined);
 */
export class FairWorkQueue<Item extends QueueItem> implements WorkQueue<Item> {
  private readonly flows = new Map<WorkspaceName, Flow<Item>>();
  private readonly activeFlows = new LazyHeap<FlowEntry<Item>>();
  private readonly entries = new Map<WorkId, WaitingEntry<Item>>();
  private readonly unsettled = new Map<WorkId, UnsettledItem>();
  private readonly order: ProgramOrder;
  private readonly maximumLeadTokens: number;
  private virtualTime = 0;
  private nextOrder = 0;
  private flowsAtLastSweep = 0;

  public constructor(private readonly options: FairWorkQueueOptions) {
    this.order = options.order ?? new AttainedServiceOrder();
    this.maximumLeadTokens = options.maximumLeadTokens ?? DEFAULT_MAXIMUM_LEAD_TOKENS;
  }

  public get size(): number {
    return this.entries.size;
  }

  /** Number of workspaces for which the queue keeps state. */
  public get workspaceCount(): number {
    return this.flows.size;
  }

  public push(item: Item, now: number): PushOutcome {
    if (this.entries.has(item.id)) {
      return 'duplicate';
    }
    if (this.entries.size >= this.options.maximumItems) {
      return 'queue-full';
    }
    const flow = this.getOrCreateFlow(item.workspace);
    if (flow.waiting.size >= this.options.maximumItemsPerWorkspace) {
      return 'workspace-full';
    }
    const key = this.order.keyOf(item, now);
    const entry = { flow, isStale: false, item, key, order: this.nextOrder++ };
    this.entries.set(item.id, entry);
    flow.waiting.push(entry);
    if (flow.heapEntry === undefined) {
      flow.finishTag = Math.max(flow.finishTag, this.virtualTime);
      this.insertActiveFlow(flow);
    }
    this.sweepIfDue();
    return 'accepted';
  }

  public pop(_now: number, canRun: RunnablePredicate<Item>): Item | undefined {
    const skipped: FlowEntry<Item>[] = [];
    let found: WaitingEntry<Item> | undefined;
    while (found === undefined && skipped.length < MAXIMUM_WORKSPACES_PER_POP) {
      const heapEntry = this.activeFlows.pop();
      if (heapEntry === undefined) {
        break;
      }
      const standing = heapEntry.key <= this.virtualTime ? 'below-share' : 'at-share';
      found = popRunnable(heapEntry.flow, item => canRun(item, standing));
      if (found === undefined) {
        skipped.push(heapEntry);
      }
    }
    for (const heapEntry of skipped) {
      this.activeFlows.push(heapEntry);
    }
    if (found === undefined) {
      return undefined;
    }
    this.entries.delete(found.item.id);
    this.charge(found);
    return found.item;
  }

  public remove(id: WorkId): Item | undefined {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      return undefined;
    }
    this.entries.delete(id);
    const { flow } = entry;
    flow.waiting.discard(entry);
    if (flow.waiting.size === 0) {
      this.removeActiveFlow(flow);
    }
    return entry.item;
  }

  public settle(id: WorkId, usedTokens: number): void {
    const unsettled = this.unsettled.get(id);
    if (unsettled === undefined) {
      return;
    }
    this.unsettled.delete(id);
    this.addUse(unsettled.workspace, usedTokens - unsettled.estimatedTokens);
    this.sweepIfDue();
  }

  public observeRemoteUse(workspace: WorkspaceName, tokens: number): void {
    this.addUse(workspace, Math.max(0, tokens));
    this.sweepIfDue();
  }

  private charge({ flow, item }: WaitingEntry<Item>): void {
    this.virtualTime = Math.max(this.virtualTime, flow.finishTag);
    flow.heapEntry = undefined;
    this.advanceFinishTag(flow, item.estimatedTokens);
    if (flow.waiting.size > 0) {
      this.insertActiveFlow(flow);
    }
    this.addUnsettled(item);
  }

  private addUse(workspace: WorkspaceName, tokens: number): void {
    const flow = this.getOrCreateFlow(workspace);
    this.advanceFinishTag(flow, tokens);
    if (flow.heapEntry !== undefined) {
      this.removeActiveFlow(flow);
      this.insertActiveFlow(flow);
    }
  }

  private advanceFinishTag(flow: Flow<Item>, tokens: number): void {
    const configuredWeight = this.options.weightOf(flow.workspace);
    const weight = configuredWeight > 0 ? configuredWeight : 1;
    if (tokens < 0) {
      flow.finishTag += tokens / weight;
      return;
    }
    const maximumFinishTag = this.virtualTime + this.maximumLeadTokens / weight;
    const startTag = Math.max(flow.finishTag, this.virtualTime);
    flow.finishTag = Math.min(
      startTag + tokens / weight,
      Math.max(flow.finishTag, maximumFinishTag),
    );
  }

  private insertActiveFlow(flow: Flow<Item>): void {
    flow.heapEntry = { flow, isStale: false, key: flow.finishTag, order: this.nextOrder++ };
    this.activeFlows.push(flow.heapEntry);
  }

  private removeActiveFlow(flow: Flow<Item>): void {
    if (flow.heapEntry !== undefined) {
      this.activeFlows.discard(flow.heapEntry);
      flow.heapEntry = undefined;
    }
  }

  private getOrCreateFlow(workspace: WorkspaceName): Flow<Item> {
    const known = this.flows.get(workspace);
    if (known !== undefined) {
      return known;
    }
    const flow: Flow<Item> = {
      finishTag: this.virtualTime,
      heapEntry: undefined,
      waiting: new LazyHeap(),
      workspace,
    };
    this.flows.set(workspace, flow);
    return flow;
  }

  private addUnsettled(item: Item): void {
    const { estimatedTokens, workspace } = item;
    this.unsettled.set(item.id, { estimatedTokens, workspace });
    trimOldest(this.unsettled, MAXIMUM_UNSETTLED_ITEMS);
  }

  /**
   * Drops workspaces that have no waiting items and no use to be counted against them, once enough
   * were added since the last sweep.
   */
  private sweepIfDue(): void {
    if (this.flows.size <= 2 * this.flowsAtLastSweep + SWEEP_ALLOWANCE) {
      return;
    }
    const hasTooManyFlows = this.flows.size > MAXIMUM_IDLE_WORKSPACES;
    for (const [workspace, flow] of this.flows) {
      if (flow.heapEntry === undefined && (hasTooManyFlows || flow.finishTag <= this.virtualTime)) {
        this.flows.delete(workspace);
      }
    }
    this.flowsAtLastSweep = Math.min(this.flows.size, MAXIMUM_IDLE_WORKSPACES / 2);
  }
}

function popRunnable<Item extends QueueItem>(
  flow: Flow<Item>,
  canRun: (item: Item) => boolean,
): WaitingEntry<Item> | undefined {
  const skipped: WaitingEntry<Item>[] = [];
  let found: WaitingEntry<Item> | undefined;
  while (found === undefined && skipped.length < MAXIMUM_ITEMS_CHECKED_PER_WORKSPACE) {
    const entry = flow.waiting.pop();
    if (entry === undefined) {
      break;
    }
    if (canRun(entry.item)) {
      found = entry;
    } else {
      skipped.push(entry);
    }
  }
  for (const entry of skipped) {
    flow.waiting.push(entry);
  }
  return found;
}
