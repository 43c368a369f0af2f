import type { Epoch, IncarnationId, ShardId } from '@zincring/core';

import { silentLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { LogRecord } from '../../src/index.js';
import type { SharedPlatform } from '../leases/pausableNode.js';

import { LogReader, LogSweeper, shardRowKey, WriteAheadLog } from '../../src/index.js';
import { createSharedPlatform, PausableNode } from '../leases/pausableNode.js';

const incarnation = 'entry-1.log' as IncarnationId;

function createLog(node: PausableNode, maximumPending = 100): WriteAheadLog {
  return new WriteAheadLog({
    groupMilliseconds: 5,
    incarnation,
    logger: silentLogger,
    maximumPending,
    objects: node.objects,
    retryMilliseconds: 200,
    timers: node.timers,
  });
}

function createRecord(payload: string, shard = 1, epoch = 1): LogRecord {
  return { epoch: epoch as Epoch, payload, shard: shard as ShardId };
}

async function readPayloads(
  reader: LogReader,
  from: number,
  shard = 1,
  epoch = 1,
): Promise<readonly string[]> {
  const reference = { epoch: epoch as Epoch, from, incarnation };
  const records = (await reader.read(reference, shard as ShardId)).unwrap();
  return records.map(each => each.payload);
}

describe('the write-ahead log', () => {
  it.each([0, 1, 2, 5])('stores a record exactly once when %i responses are lost', async count => {
    const node = new PausableNode(createSharedPlatform());
    const log = createLog(node);
    node.objectFaults.set({ lostAnswers: count });
    const first = log.append(createRecord('first')).unwrap();
    await node.advance(2_000);
    expect((await first.stored).ok).toBe(true);
    const second = log.append(createRecord('second')).unwrap();
    await node.advance(2_000);
    expect((await second.stored).unwrap()).toEqual({ incarnation, sequence: 2 });
    expect(await readPayloads(new LogReader(node.objects), 1)).toEqual(['first', 'second']);
  });

  it('rejects records immediately when it is full, and stores those that it accepted', async () => {
    const node = new PausableNode(createSharedPlatform());
    const log = createLog(node, 3);
    node.objectFaults.set({ outage: 'refuse' });
    const outcomes = ['a', 'b', 'c', 'd'].map(payload => log.append(createRecord(payload)));
    expect(outcomes.map(outcome => outcome.ok)).toEqual([true, true, true, false]);
    await node.advance(60_000);
    expect(log.isStalled).toBe(true);
    node.objectFaults.set({ outage: 'none' });
    await node.advance(1_000);
    expect(await readPayloads(new LogReader(node.objects), 1)).toEqual(['a', 'b', 'c']);
  });
});

describe('reading a log', () => {
  async function writeLog(platform: SharedPlatform, count: number): Promise<PausableNode> {
    const node = new PausableNode(platform);
    const log = createLog(node);
    for (let index = 0; index < count; index++) {
      log.append(createRecord(`one-${String(index)}`)).unwrap();
      log.append(createRecord(`two-${String(index)}`, 2, index % 2)).unwrap();
      await node.advance(50);
    }
    return node;
  }

  it('returns the records of one shard and epoch in order, from a given position', async () => {
    const { objects } = await writeLog(createSharedPlatform(), 40);
    const reader = new LogReader(objects);
    const all = Array.from({ length: 40 }, (_, index) => index);
    expect(await readPayloads(reader, 1)).toEqual(all.map(index => `one-${String(index)}`));
    expect(await readPayloads(reader, 39)).toEqual(['one-38', 'one-39']);
    const ofEpochOne = all.filter(index => index % 2 === 1).map(index => `two-${String(index)}`);
    expect(await readPayloads(reader, 1, 2)).toEqual(ofEpochOne);
  });

  it('reads each object once for all shards, but reads again where the log ended', async () => {
    const platform = createSharedPlatform();
    const node = await writeLog(platform, 40);
    const names: string[] = [];
    const reader = new LogReader({
      ...node.objects,
      get: async name => {
        names.push(name);
        return await node.objects.get(name);
      },
    });
    await readPayloads(reader, 1);
    const reads = names.length;
    expect(new Set(names).size).toBe(reads);
    await readPayloads(reader, 1, 2);
    // Only absent objects are read again: at most one window of them.
    expect(names.length - reads).toBeLessThanOrEqual(16);
    platform.objects.putIfAbsent(
      'log/entry-1.log/000000000041',
      Buffer.from(JSON.stringify(createRecord('late'))),
    );
    expect((await readPayloads(reader, 1)).at(-1)).toBe('late');
  });

  it('fails when an object cannot be read, instead of ending there', async () => {
    const node = await writeLog(createSharedPlatform(), 20);
    node.objectFaults.set({ errors: 1 });
    const reference = { epoch: 1 as Epoch, from: 1, incarnation };
    const outcome = await new LogReader(node.objects).read(reference, 1 as ShardId);
    expect(outcome.err).toBe(true);
  });
});

describe('sweeping logs', () => {
  it.each([
    { firstSequences: [], remaining: [] },
    { firstSequences: [3], remaining: [3, 4, 5] },
    { firstSequences: [4, 2], remaining: [2, 3, 4, 5] },
    { firstSequences: [9], remaining: [] },
  ])(
    'keeps, out of 5 objects, those that rows starting at $firstSequences need',
    async ({ firstSequences, remaining }) => {
      const platform = createSharedPlatform();
      const node = new PausableNode(platform);
      const log = createLog(node);
      for (let index = 0; index < 5; index++) {
        log.append(createRecord(String(index))).unwrap();
        await node.advance(50);
      }
      for (const [shard, from] of firstSequences.entries()) {
        const state = { log: { epoch: 1, from, incarnation }, snapshot: null };
        const key = shardRowKey(shard as ShardId);
        const value = JSON.stringify({ epoch: 1, holder: null, state });
        platform.table.transact({ checks: [], writes: [{ key, value }] });
      }
      const { objects, table } = node;
      const deleted = await new LogSweeper({ objects, shardCount: 4, table }).sweep();
      expect(deleted.unwrap()).toBe(5 - remaining.length);
      const { names } = platform.objects.list({ limit: 10, prefix: 'log/' });
      expect(names.map(name => Number(name.slice(-12)))).toEqual(remaining);
    },
  );

  it('deletes nothing when the rows cannot be read', async () => {
    const node = new PausableNode(createSharedPlatform());
    const log = createLog(node);
    log.append(createRecord('kept')).unwrap();
    await node.advance(50);
    node.tableFaults.set({ outage: 'refuse' });
    const { objects, table } = node;
    const outcome = await new LogSweeper({ objects, shardCount: 4, table }).sweep();
    expect(outcome.err).toBe(true);
    expect(await readPayloads(new LogReader(objects), 1)).toEqual(['kept']);
  });
});
