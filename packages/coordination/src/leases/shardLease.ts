import type { Epoch, Result, ShardId } from '@zincring/core';

import type { ShardStateReference } from './leaseRows.js';

/**
 * Status of an instance's lease on a shard: `held` under a valid lease; `releasing`, still held
 * while running work is finished for the next holder; `lapsed`, held until the term ran out and
 * not known to be acquired by another instance; `recovering`, acquired but not yet replayed;
 * `none`, not held.
 */
export type ShardLeaseStatus = 'held' | 'lapsed' | 'none' | 'recovering' | 'releasing';

/** Reason for a failed write of a shard's row: acquired by another holder, or outcome unknown. */
export type ShardWriteFailure = 'lost' | 'unknown';

/**
 * The lease of one shard under one epoch. A shard that is acquired again gets a new lease, so that
 * work started under an earlier epoch is never mistaken for work of the current one.
 */
export interface ShardLease {
  readonly shard: ShardId;
  /** Fencing token under which the shard is held. */
  readonly epoch: Epoch;
  /** Status of the lease. Must be checked again after every await; `none` is final. */
  readonly status: ShardLeaseStatus;
  /** Writes the new location of the shard's state to its row. */
  commitState(state: ShardStateReference): Promise<Result<void, ShardWriteFailure>>;
}

/** Callbacks of the component that owns the state of shards, for acquired and released shards. */
export interface ShardOwner {
  /**
   * Restores the state of an acquired shard. Called again after a failure.
   *
   * @returns the location of the state from now on
   */
  recover(lease: ShardLease, state: ShardStateReference): Promise<ShardStateReference>;
  /**
   * Finishes the running work of a shard before it is released.
   *
   * @returns the location of the state for the next holder
   */
  handOver(lease: ShardLease): Promise<ShardStateReference>;
  /** Discards the local state of a shard that another holder has, or may have, acquired. */
  drop(lease: ShardLease): void;
}
