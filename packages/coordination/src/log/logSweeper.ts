import type { IncarnationId, Result, ShardId } from '@zincring/core';
import type { ObjectStore, PlatformError, TableService } from '@zincring/platform';

import { Err, Ok } from '@zincring/core';

import type { LogPosition } from './logRecord.js';

import { parseShardRow, shardRowKey } from '../leases/leaseRows.js';
import { LOG_NAME_PREFIX, parseLogObjectName } from './logRecord.js';

/** Options of a {@link LogSweeper}. */
export interface LogSweeperOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly shardCount: number;
}

interface ListedObject {
  readonly name: string;
  readonly position: LogPosition;
}

const OBJECTS_PER_PAGE = 1_000;

/**
 * Deletes the log objects that no shard needs. The objects are listed before the rows are read: a
 * reference written to a row later covers only objects written later. A listed object that the
 * rows do not need is therefore never needed again, however late it is deleted.
 */
export class LogSweeper {
  public constructor(private readonly options: LogSweeperOptions) {}

  /**
   * Deletes the log objects that are not needed.
   *
   * @returns the number of objects deleted
   */
  public async sweep(): Promise<Result<number, PlatformError>> {
    const listed = await this.listLogObjects();
    if (listed.err) {
      return listed;
    }
    const firstNeededSequences = await this.readFirstNeededSequences();
    if (firstNeededSequences.err) {
      return firstNeededSequences;
    }
    let deleted = 0;
    for (const { name, position } of listed.val) {
      const firstNeededSequence =
        firstNeededSequences.val.get(position.incarnation) ?? Number.POSITIVE_INFINITY;
      if (position.sequence >= firstNeededSequence) {
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

  private async listLogObjects(): Promise<Result<readonly ListedObject[], PlatformError>> {
    const listed: ListedObject[] = [];
    let after: string | undefined;
    do {
      const page = await this.options.objects.list({
        limit: OBJECTS_PER_PAGE,
        prefix: LOG_NAME_PREFIX,
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

  /** Reads, for each log, the first sequence number that is still needed. */
  private async readFirstNeededSequences(): Promise<
    Result<ReadonlyMap<IncarnationId, number>, PlatformError>
  > {
    const keys = Array.from({ length: this.options.shardCount }, (_, shard) =>
      shardRowKey(shard as ShardId),
    );
    const read = await this.options.table.read(keys);
    return read.map(rows => {
      const firstNeededSequences = new Map<IncarnationId, number>();
      for (const row of rows) {
        const { log } = parseShardRow(row).state;
        if (log !== null) {
          firstNeededSequences.set(
            log.incarnation,
            Math.min(log.from, firstNeededSequences.get(log.incarnation) ?? log.from),
          );
        }
      }
      return firstNeededSequences;
    });
  }
}
