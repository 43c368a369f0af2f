import type { WorkspaceName } from '@zincring/core';

import type { HeapEntry } from './lazyHeap.js';
import type { ProgramOrder } from './programOrder.js';
import type { PushOutcome, QueueItem, RunnablePredicate, WorkId, WorkQueue } from './workQueue.js';

import { trimOldest } from '../util/trimOldest.js';
import { LazyHeap } from './lazyHeap.js';
import { AttainedServiceOrder } from './programOrder.js';

/** Limits and weights of a {@link FairWorkQueue}. */
export interface FairWorkQueueOptions {
  /** Most items that wait in all. */
  readonly maxItems: number;
  /** Most items that wait for one workspace. */
  readonly maxItemsPerWorkspace: number;
  /** Share of a workspace when workspaces compete; above 0. */
  readonly weightOf: (workspace: WorkspaceName) => number;
  /** Order within a workspace; least attained service by default. */
  readonly order?: ProgramOrder;
  /**
   * How far the use of a workspace of weight 1 may run ahead of the others before it is forgotten,
   * in tokens. It bounds how long spare capacity that was used elsewhere counts against a workspace.
   */
  readonly maxLeadTokens?: number;
}

const DEFAULT_LEAD_TOKENS = 500_000;
/** Workspaces that one pop looks at, at most. */
const WORKSPACES_PER_POP = 32;
/** Items of one workspace that one pop looks at, at most. */
const ITEMS_PER_WORKSPACE = 4;
/** Popped items whose true cost is awaited, at most. */
const MAX_UNSETTLED = 100_000;
/** Workspaces that may be added between two sweeps of those without work, beside as many as were kept. */
const SWEEP_ALLOWANCE = 16;
/** Workspaces without work whose use is remembered, at most. */
const MAX_IDLE_WORKSPACES = 16_384;

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
  /** Virtual time at which the service given so far ends. */
  finishTag: number;
  /** Place among the workspaces that have work waiting. */
  place: FlowEntry<Item> | undefined;
}

interface Unsettled {
  readonly workspace: WorkspaceName;
  readonly estimatedTokens: number;
}

/**
 * Start-time fair queueing between workspaces by tokens and weight; within a workspace a
 * {@link ProgramOrder}. Every operation costs logarithmic time in items and workspaces.
 *
 * @example
 * const queue = new FairWorkQueue({ maxItems: 10_000, maxItemsPerWorkspace: 2_000, weightOf });
 * queue.push(item, timers.now());
 * const next = queue.pop(timers.now(), candidate => chooser.choose(candidate) !== undefined);
 */
export class FairWorkQueue<Item extends QueueItem> implements WorkQueue<Item> {
  private readonly flows = new Map<WorkspaceName, Flow<Item>>();
  private readonly places = new LazyHeap<FlowEntry<Item>>();
  private readonly entries = new Map<WorkId, WaitingEntry<Item>>();
  private readonly unsettled = new Map<WorkId, Unsettled>();
  private readonly order: ProgramOrder;
  private readonly maxLeadTokens: number;
  private virtualTime = 0;
  private nextOrder = 0;
  private flowsAtLastSweep = 0;

  public constructor(private readonly options: FairWorkQueueOptions) {
    this.order = options.order ?? new AttainedServiceOrder();
    this.maxLeadTokens = options.maxLeadTokens ?? DEFAULT_LEAD_TOKENS;
  }

  public get size(): number {
    return this.entries.size;
  }

  /** Workspaces that the queue keeps a record of. */
  public get workspaceCount(): number {
    return this.flows.size;
  }

  public push(item: Item, now: number): PushOutcome {
    if (this.entries.has(item.id)) {
      return 'duplicate';
    }
    if (this.entries.size >= this.options.maxItems) {
      return 'queue-full';
    }
    const flow = this.flowOf(item.workspace);
    if (flow.waiting.size >= this.options.maxItemsPerWorkspace) {
      return 'workspace-full';
    }
    const key = this.order.keyOf(item, now);
    const entry = { flow, isStale: false, item, key, order: this.nextOrder++ };
    this.entries.set(item.id, entry);
    flow.waiting.push(entry);
    if (flow.place === undefined) {
      flow.finishTag = Math.max(flow.finishTag, this.virtualTime);
      this.placeFlow(flow);
    }
    this.sweepSometimes();
    return 'accepted';
  }

  public pop(_now: number, canRun: RunnablePredicate<Item>): Item | undefined {
    const skipped: FlowEntry<Item>[] = [];
    let found: WaitingEntry<Item> | undefined;
    while (found === undefined && skipped.length < WORKSPACES_PER_POP) {
      const place = this.places.pop();
      if (place === undefined) {
        break;
      }
      const standing = place.key <= this.virtualTime ? 'below-share' : 'at-share';
      found = takeRunnable(place.flow, item => canRun(item, standing));
      if (found === undefined) {
        skipped.push(place);
      }
    }
    for (const place of skipped) {
      this.places.push(place);
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
      this.unplaceFlow(flow);
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
    this.sweepSometimes();
  }

  public observeRemoteUse(workspace: WorkspaceName, tokens: number): void {
    this.addUse(workspace, Math.max(0, tokens));
    this.sweepSometimes();
  }

  private charge({ flow, item }: WaitingEntry<Item>): void {
    this.virtualTime = Math.max(this.virtualTime, flow.finishTag);
    flow.place = undefined;
    this.advanceTag(flow, item.estimatedTokens);
    if (flow.waiting.size > 0) {
      this.placeFlow(flow);
    }
    this.rememberUnsettled(item);
  }

  private addUse(workspace: WorkspaceName, tokens: number): void {
    const flow = this.flowOf(workspace);
    this.advanceTag(flow, tokens);
    if (flow.place !== undefined) {
      this.unplaceFlow(flow);
      this.placeFlow(flow);
    }
  }

  private advanceTag(flow: Flow<Item>, tokens: number): void {
    const wanted = this.options.weightOf(flow.workspace);
    const weight = wanted > 0 ? wanted : 1;
    if (tokens < 0) {
      flow.finishTag += tokens / weight;
      return;
    }
    const limit = this.virtualTime + this.maxLeadTokens / weight;
    const base = Math.max(flow.finishTag, this.virtualTime);
    flow.finishTag = Math.min(base + tokens / weight, Math.max(flow.finishTag, limit));
  }

  private placeFlow(flow: Flow<Item>): void {
    flow.place = { flow, isStale: false, key: flow.finishTag, order: this.nextOrder++ };
    this.places.push(flow.place);
  }

  private unplaceFlow(flow: Flow<Item>): void {
    if (flow.place !== undefined) {
      this.places.discard(flow.place);
      flow.place = undefined;
    }
  }

  private flowOf(workspace: WorkspaceName): Flow<Item> {
    const known = this.flows.get(workspace);
    if (known !== undefined) {
      return known;
    }
    const flow: Flow<Item> = {
      finishTag: this.virtualTime,
      place: undefined,
      waiting: new LazyHeap(),
      workspace,
    };
    this.flows.set(workspace, flow);
    return flow;
  }

  private rememberUnsettled(item: Item): void {
    const { estimatedTokens, workspace } = item;
    this.unsettled.set(item.id, { estimatedTokens, workspace });
    trimOldest(this.unsettled, MAX_UNSETTLED);
  }

  /** Drops workspaces that have nothing waiting and no use to be counted against them. */
  private sweepSometimes(): void {
    if (this.flows.size <= 2 * this.flowsAtLastSweep + SWEEP_ALLOWANCE) {
      return;
    }
    const isCrowded = this.flows.size > MAX_IDLE_WORKSPACES;
    for (const [workspace, flow] of this.flows) {
      if (flow.place === undefined && (isCrowded || flow.finishTag <= this.virtualTime)) {
        this.flows.delete(workspace);
      }
    }
    this.flowsAtLastSweep = Math.min(this.flows.size, MAX_IDLE_WORKSPACES / 2);
  }
}

function takeRunnable<Item extends QueueItem>(
  flow: Flow<Item>,
  canRun: (item: Item) => boolean,
): WaitingEntry<Item> | undefined {
  const skipped: WaitingEntry<Item>[] = [];
  let found: WaitingEntry<Item> | undefined;
  while (found === undefined && skipped.length < ITEMS_PER_WORKSPACE) {
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
