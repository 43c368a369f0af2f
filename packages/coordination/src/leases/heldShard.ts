import type { Epoch, IncarnationId, Result, ShardId, TimerService } from '@zincring/core';
import type { Row, TableService } from '@zincring/platform';

import { Err, Ok, sleep } from '@zincring/core';

import type { ShardRow, ShardStateReference } from './leaseRows.js';
import type { Session } from './session.js';
import type { ShardLease, ShardStanding, ShardWriteFailure } from './shardLease.js';

import { parseShardRow, shardRowKey } from './leaseRows.js';

/** What a shard that was taken begins with. */
export interface HeldShardOptions {
  readonly table: TableService;
  readonly timers: TimerService;
  readonly session: Session;
  readonly shard: ShardId;
  readonly epoch: Epoch;
  readonly rowVersion: number;
  readonly state: ShardStateReference;
}

/** Where a held shard is in its life. */
export type HeldShardPhase = 'active' | 'dropped' | 'recovering' | 'releasing';

const WRITE_ATTEMPTS = 4;
const WRITE_PAUSE_MILLISECONDS = 100;

/** A shard that this instance took, under one epoch. */
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

  /** Where the state of the shard can be read, as far as the row is known to say. */
  public get state(): ShardStateReference {
    return this.currentState;
  }

  public get standing(): ShardStanding {
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

  /** Whether the shard is in a phase; to be asked again after every wait. */
  public isIn(phase: HeldShardPhase): boolean {
    return this.phase === phase;
  }

  /**
   * Gives the shard free for the next holder.
   *
   * @param state where the state stands; `undefined` for where the row says
   */
  public async writeRelease(
    state: ShardStateReference | undefined,
  ): Promise<Result<void, ShardWriteFailure>> {
    return await this.write(null, state);
  }

  /** Writes the row once, although answers may be lost after the write has taken effect. */
  private async write(
    holder: IncarnationId | null,
    state: ShardStateReference | undefined,
  ): Promise<Result<void, ShardWriteFailure>> {
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
      if (attempt > 0) {
        await sleep(this.options.timers, WRITE_PAUSE_MILLISECONDS);
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
      const written = outcome.val.rows[0];
      if (written === undefined) {
        continue;
      }
      if (outcome.val.status === 'conflict' && !this.isOwn(written)) {
        return Err('lost');
      }
      // Only this lease writes rows of its epoch: a conflict shows an earlier write of its own.
      this.rowVersion = written.version;
      this.currentState = parseShardRow(written).state;
      if (written.value === value) {
        return Ok(undefined);
      }
    }
    return Err('unknown');
  }

  private isOwn(row: Row): boolean {
    return row.version > 0 && parseShardRow(row).epoch === this.epoch;
  }
}
