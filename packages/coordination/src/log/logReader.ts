import type { IncarnationId, Result, ShardId } from '@zincring/core';
import type { ObjectStore, PlatformError } from '@zincring/platform';

import { Err, Ok } from '@zincring/core';

import type { LogReference } from '../leases/leaseRows.js';
import type { LogRecord } from './logRecord.js';

import { decodeGroup, logObjectName } from './logRecord.js';

/** Records of one commit group by shard. */
type LogGroup = ReadonlyMap<ShardId, readonly LogRecord[]>;

/** An answer of the object store; `undefined` for an object that does not exist. */
type GroupAnswer = Result<LogGroup | undefined, PlatformError>;

/** Objects that are read at the same time. */
const PARALLEL_READS = 16;
/** Commit groups that are kept for the other shards of the same log. */
const MOST_CACHED_GROUPS = 512;

/**
 * Reads logs of other incarnations. A commit group never changes, so that those read for one
 * shard serve the other shards of the log as well.
 */
export class LogReader {
  private readonly groups = new Map<string, Promise<GroupAnswer>>();

  public constructor(private readonly objects: ObjectStore) {}

  /**
   * Reads the records of a shard up to the last object without a gap, as the log stands when the
   * call is made.
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
      const answers = await this.readWindow(reference.incarnation, from);
      for (const answer of answers) {
        if (answer.err) {
          return Err(answer.val);
        }
        if (answer.val === undefined) {
          return Ok(records);
        }
        const own = answer.val.get(shard) ?? [];
        records.push(...own.filter(record => record.epoch === reference.epoch));
      }
    }
  }

  private async readWindow(
    incarnation: IncarnationId,
    from: number,
  ): Promise<readonly GroupAnswer[]> {
    // Most logs end soon after the snapshot: one look spares a window of absent objects.
    const first = await this.readGroup(logObjectName(incarnation, from));
    if (first.err || first.val === undefined) {
      return [first];
    }
    const names = Array.from({ length: PARALLEL_READS - 1 }, (_, index) =>
      logObjectName(incarnation, from + index + 1),
    );
    return [first, ...(await Promise.all(names.map(async name => this.readGroup(name))))];
  }

  private async readGroup(name: string): Promise<GroupAnswer> {
    const begun = this.groups.get(name);
    if (begun !== undefined) {
      const answer = await begun;
      // A read that began earlier proves what exists, but not what is absent now.
      if (answer.ok && answer.val !== undefined) {
        return answer;
      }
    }
    const reading = this.fetchGroup(name);
    this.remember(name, reading);
    const answer = await reading;
    if ((answer.err || answer.val === undefined) && this.groups.get(name) === reading) {
      this.groups.delete(name);
    }
    return answer;
  }

  private async fetchGroup(name: string): Promise<GroupAnswer> {
    const content = await this.objects.get(name);
    return content.map(bytes => (bytes === undefined ? undefined : indexByShard(bytes)));
  }

  private remember(name: string, reading: Promise<GroupAnswer>): void {
    this.groups.delete(name);
    this.groups.set(name, reading);
    for (const oldest of this.groups.keys()) {
      if (this.groups.size <= MOST_CACHED_GROUPS) {
        return;
      }
      this.groups.delete(oldest);
    }
  }
}

function indexByShard(content: Uint8Array): LogGroup {
  const index = new Map<ShardId, LogRecord[]>();
  for (const record of decodeGroup(content)) {
    const known = index.get(record.shard);
    if (known === undefined) {
      index.set(record.shard, [record]);
    } else {
      known.push(record);
    }
  }
  return index;
}
