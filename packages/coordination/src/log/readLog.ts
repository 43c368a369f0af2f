import type { Result, ShardId } from '@zincring/core';
import type { ObjectStore, PlatformError } from '@zincring/platform';

import { Err, Ok } from '@zincring/core';

import type { LogReference } from '../leases/leaseRows.js';
import type { LogRecord } from './logRecord.js';

import { decodeGroup, logObjectName } from './logRecord.js';

/**
 * Reads the records of a shard from a log, up to the last object without a gap.
 *
 * @example
 * const records = await readLog(objects, state.log, shard);
 */
export async function readLog(
  objects: ObjectStore,
  reference: LogReference,
  shard: ShardId,
): Promise<Result<readonly LogRecord[], PlatformError>> {
  const records: LogRecord[] = [];
  for (let sequence = Math.max(1, reference.from); ; sequence++) {
    const content = await objects.get(logObjectName(reference.incarnation, sequence));
    if (content.err) {
      return Err(content.val);
    }
    if (content.val === undefined) {
      return Ok(records);
    }
    const group = decodeGroup(content.val);
    records.push(
      ...group.filter(record => record.shard === shard && record.epoch === reference.epoch),
    );
  }
}
