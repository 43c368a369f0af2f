import type { Epoch, IncarnationId, InstanceId, ShardId } from '@zincring/core';

/** A record that is not durable yet, copied to an instance in another availability zone. */
export interface CopiedRecord {
  readonly sequence: number;
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly payload: string;
}

/** Copies that an instance asks another to keep while the store is out. */
export interface CopyRequest {
  readonly instance: InstanceId;
  readonly incarnation: IncarnationId;
  readonly records: readonly CopiedRecord[];
  /** Copies before this sequence number are no longer needed. */
  readonly flushedSequence: number;
}

/** Keeps copies for other instances. */
export interface CopyKeeper {
  /** Returns whether the copies are kept. */
  keep(request: CopyRequest): boolean;
}

/** Keeps nothing. */
export const keepNoCopies: CopyKeeper = { keep: () => false };
