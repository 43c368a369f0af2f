import { hash32 } from '@zincring/core';

/**
 * Partitions over which the rows of one table are spread. Transactions of a partition run one after
 * another, whatever their tables, so each table has partitions of its own.
 *
 * @example
 * const partitions = new PartitionSet('budgets', 256);
 * partitions.of('program-7'); // 'budgets-93'
 */
export class PartitionSet {
  /** Names of all partitions, for sweeps over the table. */
  public readonly names: readonly string[];

  public constructor(table: string, count: number) {
    this.names = Array.from({ length: count }, (_unused, index) => `${table}-${String(index)}`);
  }

  /** Returns the partition of a key, which is always the same one. */
  public of(key: string): string {
    const partition = this.names[hash32(key) % this.names.length];
    if (partition === undefined) {
      throw new RangeError('a partition set needs at least one partition');
    }
    return partition;
  }
}
