import { hash32 } from '@zincring/core';

/**
 * The partitions over which the rows of one table are spread. The transactions of a partition run one after
 * another, whatever their tables, so each table has partitions of its own.
 *
 * @example
 * const partitions = new PartitionSet('budgets', 256);
 * partitions.of('program-7'); // 'budgets-93'
 */
export class PartitionSet {
  /** All of them, for sweeps. */
  public readonly names: readonly string[];

  public constructor(table: string, count: number) {
    this.names = Array.from({ length: count }, (_unused, index) => `${table}-${String(index)}`);
  }

  /** The partition of a key: always the same one. */
  public of(key: string): string {
    const name = this.names[hash32(key) % this.names.length];
    if (name === undefined) {
      throw new RangeError('a set of partitions has at least one');
    }
    return name;
  }
}
