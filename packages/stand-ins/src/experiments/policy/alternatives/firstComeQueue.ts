import type {
  PushOutcome,
  QueueItem,
  RunnablePredicate,
  WorkId,
  WorkQueue,
} from '@zincring/scheduling';

/** One first-come, first-served queue for all workspaces; a head that cannot run blocks it. */
export class FirstComeQueue<Item extends QueueItem> implements WorkQueue<Item> {
  private readonly waiting = new Map<WorkId, Item>();

  public get size(): number {
    return this.waiting.size;
  }

  public push(item: Item): PushOutcome {
    this.waiting.set(item.id, item);
    return 'accepted';
  }

  public pop(_now: number, canRun: RunnablePredicate<Item>): Item | undefined {
    const [head] = this.waiting.values();
    if (head === undefined || !canRun(head, 'at-share')) {
      return undefined;
    }
    this.waiting.delete(head.id);
    return head;
  }

  public remove(id: WorkId): Item | undefined {
    const item = this.waiting.get(id);
    this.waiting.delete(id);
    return item;
  }

  public settle(): void {
    // The order does not depend on cost.
  }

  public observeRemoteUse(): void {
    // The order does not depend on use.
  }
}
