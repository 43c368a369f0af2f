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

interface Turn<Item extends QueueItem> {
  readonly waiting: LazyHeap<WaitingEntry<Item>>;
  deficit: number;
}

/** Tokens that a workspace gets each time its turn comes. */
const QUANTUM_TOKENS = 2_000;
/** Rounds that one pop makes at most until a deficit covers the head. */
const MAX_ROUNDS = 64;

/** Deficit round robin between workspaces by tokens; knows nothing of other instances. */
export class DeficitRoundRobinQueue<Item extends QueueItem> implements WorkQueue<Item> {
  /** In order of turn: a map keeps the order of insertion. */
  private readonly turns = new Map<WorkspaceName, Turn<Item>>();
  private readonly entries = new Map<WorkId, WaitingEntry<Item>>();
  private nextOrder = 0;

  public constructor(private readonly order: ProgramOrder = new AttainedServiceOrder()) {}

  public get size(): number {
    return this.entries.size;
  }

  public push(item: Item, now: number): PushOutcome {
    const turn = this.turns.get(item.workspace) ?? { deficit: 0, waiting: new LazyHeap() };
    this.turns.set(item.workspace, turn);
    const key = this.order.keyOf(item, now);
    const entry = { isStale: false, item, key, order: this.nextOrder++ };
    turn.waiting.push(entry);
    this.entries.set(item.id, entry);
    return 'accepted';
  }

  public pop(_now: number, canRun: RunnablePredicate<Item>): Item | undefined {
    for (let round = 0; round < MAX_ROUNDS * this.turns.size; round++) {
      const [current] = this.turns;
      if (current === undefined) {
        return undefined;
      }
      const [workspace, turn] = current;
      const head = turn.waiting.peek();
      if (
        head !== undefined &&
        turn.deficit >= head.item.estimatedTokens &&
        canRun(head.item, 'at-share')
      ) {
        return this.take(workspace, turn, head);
      }
      this.turns.delete(workspace);
      if (head !== undefined) {
        turn.deficit = Math.min(turn.deficit + QUANTUM_TOKENS, 64 * QUANTUM_TOKENS);
        this.turns.set(workspace, turn);
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
    this.turns.get(entry.item.workspace)?.waiting.discard(entry);
    return entry.item;
  }

  public settle(): void {
    // The estimate stands.
  }

  public observeRemoteUse(): void {
    // Each instance shares out its own work alone.
  }

  private take(workspace: WorkspaceName, turn: Turn<Item>, head: WaitingEntry<Item>): Item {
    turn.waiting.pop();
    turn.deficit -= head.item.estimatedTokens;
    this.entries.delete(head.item.id);
    if (turn.waiting.size === 0) {
      this.turns.delete(workspace);
    }
    return head.item;
  }
}
