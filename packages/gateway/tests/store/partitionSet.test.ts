import { describe, expect, it } from 'vitest';

import { turnPartitions } from '../../src/programs/keptTurnRows.js';
import { budgetPartitions } from '../../src/programs/turnBudgets.js';
import { PartitionSet } from '../../src/store/partitionSet.js';

describe(PartitionSet, () => {
  it('puts a key always into the same partition', () => {
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

  it('needs a partition', () => {
    expect(() => new PartitionSet('budgets', 0).of('program-7')).toThrow(RangeError);
  });

  it('keeps the tables apart, since a busy row delays all of its partition', () => {
    const shared = turnPartitions.names.filter(name => budgetPartitions.names.includes(name));
    expect(shared).toEqual([]);
  });
});
