import type { IncarnationId, Result, ShardId } from '@zincring/core';
import type { ObjectStore, PlatformError, TableService } from '@zincring/platform';

import { Err, Ok } from '@zincring/core';

import type { LogPosition } from './logRecord.js';

import { parseShardRow, shardRowKey } from '../leases/leaseRows.js';
import { LOG_ROOT, parseLogObjectName } from './logRecord.js';

/** What sweeping needs. */
export interface LogSweeperOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly shardCount: number;
}

interface ListedObject {
  readonly name: string;
  readonly position: LogPosition;
}

const NAMES_PER_PAGE = 1_000;

/**
 * Deletes the log objects that no shard needs. The objects are listed before the rows are read: a
 * reference that is made later covers only objects written later, so that whatever the rows do
 * not need then is never needed again, however late it is deleted.
 */
export class LogSweeper {
  public constructor(private readonly options: LogSweeperOptions) {}

  /**
   * Deletes once what is not needed.
   *
   * @returns the number of objects deleted
   */
  public async sweep(): Promise<Result<number, PlatformError>> {
    const listed = await this.list();
    if (listed.err) {
      return listed;
    }
    const needed = await this.readNeeded();
    if (needed.err) {
      return needed;
    }
    let deleted = 0;
    for (const { name, position } of listed.val) {
      const from = needed.val.get(position.incarnation) ?? Number.POSITIVE_INFINITY;
      if (position.sequence >= from) {
        continue;
      }
      const outcome = await this.options.objects.delete(name);
      if (outcome.err) {
        return Err(outcome.val);
      }
      deleted++;
    }
    return Ok(deleted);
  }

  private async list(): Promise<Result<readonly ListedObject[], PlatformError>> {
    const listed: ListedObject[] = [];
    let after: string | undefined;
    do {
      const page = await this.options.objects.list({
        limit: NAMES_PER_PAGE,
        prefix: LOG_ROOT,
        ...(after === undefined ? {} : { after }),
      });
      if (page.err) {
        return Err(page.val);
      }
      for (const name of page.val.names) {
        const position = parseLogObjectName(name);
        if (position !== undefined) {
          listed.push({ name, position });
        }
      }
      after = page.val.next;
    } while (after !== undefined);
    return Ok(listed);
  }

  /** First sequence number that is needed of each log. */
  private async readNeeded(): Promise<Result<ReadonlyMap<IncarnationId, number>, PlatformError>> {
    const keys = Array.from({ length: this.options.shardCount }, (_, shard) =>
      shardRowKey(shard as ShardId),
    );
    const read = await this.options.table.read(keys);
    return read.map(rows => {
      const needed = new Map<IncarnationId, number>();
      for (const row of rows) {
        const { log } = parseShardRow(row).state;
        if (log !== null) {
          needed.set(log.incarnation, Math.min(log.from, needed.get(log.incarnation) ?? log.from));
        }
      }
      return needed;
    });
  }
}
