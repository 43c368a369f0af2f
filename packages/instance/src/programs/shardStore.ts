import type { Epoch, ShardId, TimerService } from '@zincring/core';
import type { ShardStateReference } from '@zincring/coordination';
import type { ObjectStore } from '@zincring/platform';

import { LogReader } from '@zincring/coordination';
import { putSettled } from '@zincring/platform';

import { decodeProgramRecord } from './programRecord.js';
import { ShardPrograms } from './shardPrograms.js';

const STORE_ATTEMPTS = 5;
const STORE_PAUSE_MILLISECONDS = 200;
const NAME_DIGITS = 12;
const NAMES_PER_PAGE = 100;

/** Snapshots of shards in the object store, and the replay of the log that follows them. */
export class ShardStore {
  private readonly logs: LogReader;
  private lastNumber = 0;

  public constructor(
    private readonly objects: ObjectStore,
    private readonly timers: TimerService,
  ) {
    this.logs = new LogReader(objects);
  }

  /** Restores the state that a reference stands for; throws when the store cannot be read. */
  public async load(shard: ShardId, reference: ShardStateReference): Promise<ShardPrograms> {
    const programs = await this.loadSnapshot(reference.snapshot);
    if (reference.log === null) {
      return programs;
    }
    const records = (await this.logs.read(reference.log, shard)).unwrap();
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
    programs: ShardPrograms,
    isHandedOver: boolean,
  ): Promise<string | null> {
    if (programs.size === 0) {
      return null;
    }
    // Numbers are never used twice under one epoch: each object is written by one attempt only.
    this.lastNumber++;
    const name = snapshotName(shard, epoch, this.lastNumber);
    const outcome = await putSettled(this.objects, name, programs.encode(isHandedOver), {
      attempts: STORE_ATTEMPTS,
      pauseMilliseconds: STORE_PAUSE_MILLISECONDS,
      timers: this.timers,
    });
    if (outcome.unwrap() === 'exists') {
      throw new Error(`snapshot ${name} exists already`);
    }
    return name;
  }

  /**
   * Deletes the snapshots of a shard that are older than one under which the row is known to
   * stand: the row names that one or a later one, now and for ever.
   */
  public async deleteOlder(shard: ShardId, epoch: Epoch, current: string | null): Promise<void> {
    const bound = current ?? snapshotName(shard, epoch, 0);
    for (;;) {
      const page = await this.objects.list({
        limit: NAMES_PER_PAGE,
        prefix: snapshotPrefix(shard),
      });
      const older = page.ok ? page.val.names.filter(name => name < bound) : [];
      for (const name of older) {
        const deleted = await this.objects.delete(name);
        if (deleted.err) {
          return;
        }
      }
      if (older.length < NAMES_PER_PAGE) {
        return;
      }
    }
  }

  private async loadSnapshot(name: string | null): Promise<ShardPrograms> {
    if (name === null) {
      return new ShardPrograms(this.timers);
    }
    const content = (await this.objects.get(name)).unwrap();
    if (content === undefined) {
      throw new Error(`snapshot ${name} is missing`);
    }
    return ShardPrograms.decode(content, this.timers);
  }
}

function snapshotPrefix(shard: ShardId): string {
  return `snapshot/${shard}/`;
}

function snapshotName(shard: ShardId, epoch: Epoch, number: number): string {
  const digits = (value: number): string => String(value).padStart(NAME_DIGITS, '0');
  return `${snapshotPrefix(shard)}${digits(epoch)}-${digits(number)}`;
}
