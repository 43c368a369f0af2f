import type { Epoch, Result, ShardId } from '@zincring/core';

import type { ShardStateReference } from './leaseRows.js';

/**
 * How an instance stands to a shard: `held` by a running lease; `releasing`, held while what runs
 * is finished for the next holder; `lapsed`, held until the term ran out and not known to be taken
 * by another; `recovering`, taken but not yet replayed; `none`.
 */
export type ShardStanding = 'held' | 'lapsed' | 'none' | 'recovering' | 'releasing';

/** How a write of a shard's row failed: another holder has it, or it is not known what happened. */
export type ShardWriteFailure = 'lost' | 'unknown';

/**
 * The lease of one shard under one epoch. A shard that is taken anew gets a new lease, so that
 * work begun under an earlier epoch never passes for work of the present one.
 */
export interface ShardLease {
  readonly shard: ShardId;
  /** The fencing number under which the shard is held. */
  readonly epoch: Epoch;
  /** To be asked again after every wait; once `none`, it stays so. */
  readonly standing: ShardStanding;
  /** Records where the state of the shard can be read from now on. */
  commitState(state: ShardStateReference): Promise<Result<void, ShardWriteFailure>>;
}

/** What the owner of the leases does when shards come and go. */
export interface ShardOwner {
  /**
   * Restores the state of a shard that was taken. It is asked again when it fails.
   *
   * @returns where the state stands from now on
   */
  recover(lease: ShardLease, state: ShardStateReference): Promise<ShardStateReference>;
  /**
   * Finishes the running work of a shard before it is released.
   *
   * @returns where the state stands for the next holder
   */
  handOver(lease: ShardLease): Promise<ShardStateReference>;
  /** Drops a shard that another holder has, or may have, taken. */
  drop(lease: ShardLease): void;
}
