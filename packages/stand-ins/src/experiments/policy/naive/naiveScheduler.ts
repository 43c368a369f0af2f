import type {
  Dispatch,
  PushOutcome,
  ReplicaDescription,
  ScheduledItem,
  ServiceScheduler,
  WorkId,
} from '@zincring/scheduling';

/** Baseline: first come, first served, round robin over the listed replicas, without windows. */
export class NaiveScheduler<Item extends ScheduledItem> implements ServiceScheduler<Item> {
  private readonly waiting: Item[] = [];
  private replicas: readonly ReplicaDescription[] = [];
  private nextReplica: number;

  /** @param firstReplica index of the first replica; differs between instances to spread calls */
  public constructor(firstReplica: number) {
    this.nextReplica = firstReplica;
  }

  public get size(): number {
    return this.waiting.length;
  }

  public update(replicas: readonly ReplicaDescription[]): void {
    this.replicas = replicas;
  }

  public submit(item: Item): PushOutcome {
    this.waiting.push(item);
    return 'accepted';
  }

  public next(): Dispatch<Item> | undefined {
    const replica = this.replicas[this.nextReplica % Math.max(1, this.replicas.length)];
    const item = replica === undefined ? undefined : this.waiting.shift();
    if (replica === undefined || item === undefined) {
      return undefined;
    }
    this.nextReplica++;
    const placement = { expectedCachedTokens: 0, expectedMilliseconds: 0, replica: replica.id };
    return { item, placement, priority: 0 };
  }

  public nextWakeAt(): number | undefined {
    return undefined;
  }

  public cancel(id: WorkId): Item | undefined {
    const position = this.waiting.findIndex(item => item.id === id);
    return position < 0 ? undefined : this.waiting.splice(position, 1)[0];
  }

  public recordEnd(): void {
    // The baseline uses no feedback.
  }

  public observeLoad(): void {
    // The baseline uses no feedback.
  }

  public observeCacheChange(): void {
    // The baseline uses no feedback.
  }

  public observeRemoteUse(): void {
    // The baseline uses no feedback.
  }
}
