import type { Epoch, IncarnationId, InstanceId, ShardId } from '@zincring/core';

/** A record that is not durable yet, copied to an instance in another availability zone. */
export interface CopiedRecord {
  readonly sequence: number;
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly payload: string;
}

/** Request to keep copies of records for another instance while the store is unavailable. */
export interface CopyRequest {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  readonly records: readonly CopiedRecord[];
  /** Sequence number before which copies are no longer needed. */
  readonly flushedSequence: number;
}

/** Keeps copies of records for other instances. */
export interface CopyKeeper {
  /**
   * Stores the copies.
   *
   * @returns whether they are kept
   */
  keep(request: CopyRequest): boolean;
}

/** A {@link CopyKeeper} that declines all copies. */
export const keepNoCopies: CopyKeeper = { keep: () => false };
