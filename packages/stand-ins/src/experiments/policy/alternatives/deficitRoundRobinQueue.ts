import type { WorkspaceName } from '@zincring/core';
import type {
  HeapEntry,
  ProgramOrder,
  PushOutcome,
  QueueItem,
  RunnablePredicate,
  WorkId,
  WorkQueue,
} from '@zincring/scheduling';

import { AttainedServiceOrder, LazyHeap } from '@zincring/scheduling';

interface WaitingEntry<Item extends QueueItem> extends HeapEntry {
  readonly item: Item;
}

interface WorkspaceQueue<Item extends QueueItem> {
  readonly waiting: LazyHeap<WaitingEntry<Item>>;
  deficit: number;
}

/** Tokens added to the deficit counter of a workspace in each round. */
const QUANTUM_TOKENS = 2_000;
/** Maximum number of rounds in one pop until a deficit counter covers the head of its queue. */
const MAXIMUM_ROUNDS = 64;

/** Deficit round robin over workspaces by tokens; ignores the use at other instances. */
export class DeficitRoundRobinQueue<Item extends QueueItem> implements WorkQueue<Item> {
  /** Queues in round-robin order, which is the order of insertion into the map. */
  private readonly queues = new Map<WorkspaceName, WorkspaceQueue<Item>>();
  private readonly entries = new Map<WorkId, WaitingEntry<Item>>();
  private nextOrder = 0;

  public constructor(private readonly order: ProgramOrder = new AttainedServiceOrder()) {}

  public get size(): number {
    return this.entries.size;
  }

  public push(item: Item, now: number): PushOutcome {
    const queue = this.queues.get(item.workspace) ?? { deficit: 0, waiting: new LazyHeap() };
    this.queues.set(item.workspace, queue);
    const key = this.order.keyOf(item, now);
    const entry = { isStale: false, item, key, order: this.nextOrder++ };
    queue.waiting.push(entry);
    this.entries.set(item.id, entry);
    return 'accepted';
  }

  public pop(_now: number, canRun: RunnablePredicate<Item>): Item | undefined {
    for (let round = 0; round < MAXIMUM_ROUNDS * this.queues.size; round++) {
      const [first] = this.queues;
      if (first === undefined) {
        return undefined;
      }
      const [workspace, queue] = first;
      const head = queue.waiting.peek();
      if (
        head !== undefined &&
        queue.deficit >= head.item.estimatedTokens &&
        canRun(head.item, 'at-share')
      ) {
        return this.removeHead(workspace, queue, head);
      }
      this.queues.delete(workspace);
      if (head !== undefined) {
        queue.deficit = Math.min(queue.deficit + QUANTUM_TOKENS, 64 * QUANTUM_TOKENS);
        this.queues.set(workspace, queue);
      }
    }
    return undefined;
  }

  public remove(id: WorkId): Item | undefined {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      return undefined;
    }
    this.entries.delete(id);
    this.queues.get(entry.item.workspace)?.waiting.discard(entry);
    return entry.item;
  }

  public settle(): void {
    // The estimate is not corrected by the actual cost.
  }

  public observeRemoteUse(): void {
    // Fairness covers the work of this instance only.
  }

  private removeHead(
    workspace: WorkspaceName,
    queue: WorkspaceQueue<Item>,
    head: WaitingEntry<Item>,
  ): Item {
    queue.waiting.pop();
    queue.deficit -= head.item.estimatedTokens;
    this.entries.delete(head.item.id);
    if (queue.waiting.size === 0) {
      this.queues.delete(workspace);
    }
    return head.item;
  }
}
