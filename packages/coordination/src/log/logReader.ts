import type { IncarnationId, Result, ShardId } from '@zincring/core';
import type { ObjectStore, PlatformError } from '@zincring/platform';

import { Err, Ok } from '@zincring/core';

import type { LogReference } from '../leases/leaseRows.js';
import type { LogRecord } from './logRecord.js';

import { decodeGroup, logObjectName } from './logRecord.js';

/** Records of one commit group, by shard. */
type RecordsByShard = ReadonlyMap<ShardId, readonly LogRecord[]>;

/** Result of reading a commit group; `undefined` for an object that does not exist. */
type GroupReadResult = Result<RecordsByShard | undefined, PlatformError>;

/** Number of objects that are read concurrently. */
const PARALLEL_READS = 16;
/** Maximum number of commit groups that are cached for the other shards of the same log. */
const MAXIMUM_CACHED_GROUPS = 512;

/**
 * Reads logs of other incarnations. Commit groups are immutable, so those read for one shard are
 * reused for the other shards of the log.
 */
export class LogReader {
  private readonly cachedReads = new Map<string, Promise<GroupReadResult>>();

  public constructor(private readonly objects: ObjectStore) {}

  /**
   * Reads the records of a shard up to the first missing object, as of the time of the call.
   *
   * @example
   * const records = await reader.read(state.log, shard);
   */
  public async read(
    reference: LogReference,
    shard: ShardId,
  ): Promise<Result<readonly LogRecord[], PlatformError>> {
    const records: LogRecord[] = [];
    for (let from = Math.max(1, reference.from); ; from += PARALLEL_READS) {
      const results = await this.readWindow(reference.incarnation, from);
      for (const result of results) {
        if (result.err) {
          return Err(result.val);
        }
        if (result.val === undefined) {
          return Ok(records);
        }
        const shardRecords = result.val.get(shard) ?? [];
        records.push(...shardRecords.filter(record => record.epoch === reference.epoch));
      }
    }
  }

  private async readWindow(
    incarnation: IncarnationId,
    from: number,
  ): Promise<readonly GroupReadResult[]> {
    // Most logs end soon after the snapshot: a single read first avoids reading a window of
    // objects that do not exist.
    const first = await this.readGroup(logObjectName(incarnation, from));
    if (first.err || first.val === undefined) {
      return [first];
    }
    const names = Array.from({ length: PARALLEL_READS - 1 }, (_, index) =>
      logObjectName(incarnation, from + index + 1),
    );
    return [first, ...(await Promise.all(names.map(async name => this.readGroup(name))))];
  }

  private async readGroup(name: string): Promise<GroupReadResult> {
    const cachedRead = this.cachedReads.get(name);
    if (cachedRead !== undefined) {
      const result = await cachedRead;
      // A read that started earlier shows that an object exists, but not that it is still absent.
      if (result.ok && result.val !== undefined) {
        return result;
      }
    }
    const groupRead = this.fetchGroup(name);
    this.cacheRead(name, groupRead);
    const result = await groupRead;
    if ((result.err || result.val === undefined) && this.cachedReads.get(name) === groupRead) {
      this.cachedReads.delete(name);
    }
    return result;
  }

  private async fetchGroup(name: string): Promise<GroupReadResult> {
    const content = await this.objects.get(name);
    return content.map(bytes => (bytes === undefined ? undefined : groupByShard(bytes)));
  }

  private cacheRead(name: string, groupRead: Promise<GroupReadResult>): void {
    this.cachedReads.delete(name);
    this.cachedReads.set(name, groupRead);
    for (const oldest of this.cachedReads.keys()) {
      if (this.cachedReads.size <= MAXIMUM_CACHED_GROUPS) {
        return;
      }
      this.cachedReads.delete(oldest);
    }
  }
}

function groupByShard(content: Uint8Array): RecordsByShard {
  const recordsByShard = new Map<ShardId, LogRecord[]>();
  for (const record of decodeGroup(content)) {
    const shardRecords = recordsByShard.get(record.shard);
    if (shardRecords === undefined) {
      recordsByShard.set(record.shard, [record]);
    } else {
      shardRecords.push(record);
    }
  }
  return recordsByShard;
}
