import type { Epoch, ShardId, TimerService } from '@zincring/core';
import type { ShardStateReference } from '@zincring/coordination';
import type { ObjectStore } from '@zincring/platform';

import { readLog } from '@zincring/coordination';
import { putSettled } from '@zincring/platform';

import { decodeProgramRecord } from './programRecord.js';
import { ShardPrograms } from './shardPrograms.js';

const STORE_ATTEMPTS = 5;
const STORE_PAUSE_MILLISECONDS = 200;

/** Snapshots of shards in the object store, and the replay of the log that follows them. */
export class ShardStore {
  public constructor(
    private readonly objects: ObjectStore,
    private readonly timers: TimerService,
  ) {}

  /** Restores the state that a reference stands for; throws when the store cannot be read. */
  public async load(shard: ShardId, reference: ShardStateReference): Promise<ShardPrograms> {
    const programs = await this.loadSnapshot(reference.snapshot);
    if (reference.log === null) {
      return programs;
    }
    const records = (await readLog(this.objects, reference.log, shard)).unwrap();
    for (const record of records) {
      programs.apply(decodeProgramRecord(record.payload));
    }
    return programs;
  }

  /**
   * Stores a snapshot; throws when the store cannot be written.
   *
   * @returns the name of the object, or `null` for a shard without programs
   */
  public async save(
    shard: ShardId,
    epoch: Epoch,
    sequence: number,
    programs: ShardPrograms,
  ): Promise<string | null> {
    if (programs.size === 0) {
      return null;
    }
    const name = `snapshot/${shard}/${epoch}-${sequence}`;
    const outcome = await putSettled(this.objects, name, programs.encode(), {
      attempts: STORE_ATTEMPTS,
      pauseMilliseconds: STORE_PAUSE_MILLISECONDS,
      timers: this.timers,
    });
    if (outcome.unwrap() === 'exists') {
      throw new Error(`snapshot ${name} exists already`);
    }
    return name;
  }

  private async loadSnapshot(name: string | null): Promise<ShardPrograms> {
    if (name === null) {
      return new ShardPrograms();
    }
    const content = (await this.objects.get(name)).unwrap();
    if (content === undefined) {
      throw new Error(`snapshot ${name} is missing`);
    }
    return ShardPrograms.decode(content);
  }
}
