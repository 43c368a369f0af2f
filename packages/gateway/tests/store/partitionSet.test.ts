import { describe, expect, it } from 'vitest';

import { turnPartitions } from '../../src/programs/storedTurnRows.js';
import { budgetPartitions } from '../../src/programs/storeTokenAccounts.js';
import { PartitionSet } from '../../src/store/partitionSet.js';

describe(PartitionSet, () => {
  it('maps a key to the same partition every time', () => {
    const first = new PartitionSet('budgets', 16);
    const second = new PartitionSet('budgets', 16);
    expect(first.of('program-7')).toBe(second.of('program-7'));
    expect(first.names).toContain(first.of('program-7'));
  });

  it('spreads keys over all partitions', () => {
    const partitions = new PartitionSet('budgets', 16);
    const used = new Set(Array.from({ length: 400 }, (_unused, key) => partitions.of(String(key))));
    expect(used.size).toBe(16);
  });

  it('throws when the set has no partition', () => {
    expect(() => new PartitionSet('budgets', 0).of('program-7')).toThrow(RangeError);
  });

  it('gives each table its own partitions, since a busy row delays its whole partition', () => {
    const shared = turnPartitions.names.filter(name => budgetPartitions.names.includes(name));
    expect(shared).toEqual([]);
  });
});
