import type { Epoch, ShardId, TimerService } from '@zincring/core';
import type { ShardStateReference } from '@zincring/coordination';
import type { ObjectStore } from '@zincring/platform';

import { LogReader } from '@zincring/coordination';
import { putSettled } from '@zincring/platform';

import { decodeProgramRecord } from './programRecord.js';
import { ShardPrograms } from './shardPrograms.js';

const MAXIMUM_STORE_ATTEMPTS = 5;
const STORE_RETRY_DELAY_MILLISECONDS = 200;
/** Width to which numbers in names are padded, so that names sort by epoch and number. */
const DIGITS_PER_NUMBER = 12;
const NAMES_PER_PAGE = 100;

/** Stores and restores snapshots of shards, and replays the log that continues a snapshot. */
export class ShardStore {
  private readonly logReader: LogReader;
  private lastSnapshotNumber = 0;

  public constructor(
    private readonly objects: ObjectStore,
    private readonly timers: TimerService,
  ) {
    this.logReader = new LogReader(objects);
  }

  /** Restores the state at a location; throws if the store cannot be read. */
  public async load(shard: ShardId, reference: ShardStateReference): Promise<ShardPrograms> {
    const programs = await this.loadSnapshot(reference.snapshot);
    if (reference.log === null) {
      return programs;
    }
    const records = (await this.logReader.read(reference.log, shard)).unwrap();
    for (const record of records) {
      programs.apply(decodeProgramRecord(record.payload));
    }
    return programs;
  }

  /**
   * Stores a snapshot; throws if the store cannot be written.
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
    // A number is never reused under one epoch, so no two snapshots are written to the same name.
    this.lastSnapshotNumber++;
    const name = formatSnapshotName(shard, epoch, this.lastSnapshotNumber);
    const outcome = await putSettled(this.objects, name, programs.encode(isHandedOver), {
      attempts: MAXIMUM_STORE_ATTEMPTS,
      pauseMilliseconds: STORE_RETRY_DELAY_MILLISECONDS,
      timers: this.timers,
    });
    if (outcome.unwrap() === 'exists') {
      throw new Error(`snapshot ${name} exists already`);
    }
    return name;
  }

  /**
   * Deletes the snapshots of a shard that are older than the given one. That snapshot must be known
   * to be named in the shard's row: the row then names it or a later one, never an older one.
   *
   * @param current name of the snapshot; `null` when the row names none, in which case only those of
   *   earlier epochs are deleted
   */
  public async deleteOlder(shard: ShardId, epoch: Epoch, current: string | null): Promise<void> {
    const oldestKeptName = current ?? formatSnapshotName(shard, epoch, 0);
    for (;;) {
      const page = await this.objects.list({
        limit: NAMES_PER_PAGE,
        prefix: formatSnapshotPrefix(shard),
      });
      const olderNames = page.ok ? page.val.names.filter(name => name < oldestKeptName) : [];
      for (const name of olderNames) {
        const deleted = await this.objects.delete(name);
        if (deleted.err) {
          return;
        }
      }
      if (olderNames.length < NAMES_PER_PAGE) {
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

function formatSnapshotPrefix(shard: ShardId): string {
  return `snapshot/${shard}/`;
}

function formatSnapshotName(shard: ShardId, epoch: Epoch, number: number): string {
  const formatNumber = (value: number): string => String(value).padStart(DIGITS_PER_NUMBER, '0');
  return `${formatSnapshotPrefix(shard)}${formatNumber(epoch)}-${formatNumber(number)}`;
}
