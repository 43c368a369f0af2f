import type { Epoch, IncarnationId, Result, ShardId, TimerService } from '@zincring/core';
import type { Row, TableService } from '@zincring/platform';

import { Err, Ok, sleep } from '@zincring/core';

import type { ShardRow, ShardStateReference } from './leaseRows.js';
import type { Session } from './session.js';
import type { ShardLease, ShardLeaseStatus, ShardWriteFailure } from './shardLease.js';

import { parseShardRow, shardRowKey } from './leaseRows.js';

/** Options of a {@link HeldShard}: its dependencies and the contents of its row when acquired. */
export interface HeldShardOptions {
  readonly table: TableService;
  readonly timers: TimerService;
  readonly session: Session;
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly rowVersion: number;
  readonly state: ShardStateReference;
}

/** Life-cycle phase of a held shard. */
export type HeldShardPhase = 'active' | 'dropped' | 'recovering' | 'releasing';

const MAXIMUM_WRITE_ATTEMPTS = 4;
const WRITE_RETRY_DELAY_MILLISECONDS = 100;

/** A shard that this instance acquired, under one epoch. */
export class HeldShard implements ShardLease {
  public readonly shard: ShardId;
  public readonly epoch: Epoch;
  public phase: HeldShardPhase = 'recovering';
  private rowVersion: number;
  private currentState: ShardStateReference;

  public constructor(private readonly options: HeldShardOptions) {
    this.shard = options.shard;
    this.epoch = options.epoch;
    this.rowVersion = options.rowVersion;
    this.currentState = options.state;
  }

  /** Location of the shard's state according to the last known version of its row. */
  public get state(): ShardStateReference {
    return this.currentState;
  }

  public get status(): ShardLeaseStatus {
    switch (this.phase) {
      case 'dropped':
        return 'none';
      case 'recovering':
        return 'recovering';
      case 'active':
        return this.options.session.isValid ? 'held' : 'lapsed';
      case 'releasing':
        return this.options.session.isValid ? 'releasing' : 'lapsed';
    }
  }

  public async commitState(state: ShardStateReference): Promise<Result<void, ShardWriteFailure>> {
    return await this.write(this.options.session.incarnation, state);
  }

  /** Whether the shard is in the given phase. Must be checked again after every await. */
  public isInPhase(phase: HeldShardPhase): boolean {
    return this.phase === phase;
  }

  /**
   * Writes the row without a holder, so that another instance can acquire the shard.
   *
   * @param state location of the shard's state; `undefined` keeps the location given in the row
   */
  public async writeRelease(
    state: ShardStateReference | undefined,
  ): Promise<Result<void, ShardWriteFailure>> {
    return await this.write(null, state);
  }

  /**
   * Writes the row at most once. Retries when no response arrives, since the write may or may not
   * have taken effect.
   */
  private async write(
    holder: IncarnationId | null,
    state: ShardStateReference | undefined,
  ): Promise<Result<void, ShardWriteFailure>> {
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      if (attempt > 0) {
        await sleep(this.options.timers, WRITE_RETRY_DELAY_MILLISECONDS);
      }
      const key = shardRowKey(this.shard);
      const row: ShardRow = { epoch: this.epoch, holder, state: state ?? this.currentState };
      const value = JSON.stringify(row);
      const outcome = await this.options.table.transact({
        checks: [{ key, version: this.rowVersion }],
        writes: [{ key, value }],
      });
      if (outcome.err) {
        continue;
      }
      const currentRow = outcome.val.rows[0];
      if (currentRow === undefined) {
        continue;
      }
      if (outcome.val.status === 'conflict' && !this.hasOwnEpoch(currentRow)) {
        return Err('lost');
      }
      // Only this lease writes rows of its epoch, so a conflict means that one of its own earlier
      // writes took effect.
      this.rowVersion = currentRow.version;
      this.currentState = parseShardRow(currentRow).state;
      if (currentRow.value === value) {
        return Ok(undefined);
      }
    }
    return Err('unknown');
  }

  private hasOwnEpoch(row: Row): boolean {
    return row.version > 0 && parseShardRow(row).epoch === this.epoch;
  }
}
