import type {
  PartitionedOutcome,
  PartitionedTable,
  PartitionedTransaction,
} from '@zincring/platform';
import type { Result } from '@zincring/core';

import { Err } from '@zincring/core';
import { PlatformError } from '@zincring/platform';

/** Client of a store that performs chosen transactions late and does not answer them. */
export class LateTable implements PartitionedTable {
  private isHolding = false;
  private readonly held: PartitionedTransaction[] = [];

  public constructor(private readonly inner: PartitionedTable) {}

  /** Number of transactions that have not been performed. */
  public get heldCount(): number {
    return this.held.length;
  }

  /** Sets whether further transactions are held back. */
  public set holdsTransactions(isHolding: boolean) {
    this.isHolding = isHolding;
  }

  /** Performs all transactions that were held back, if their conditions still hold. */
  public async performLate(): Promise<void> {
    for (const transaction of this.held.splice(0)) {
      await this.inner.transact(transaction);
    }
  }

  public readonly changes: PartitionedTable['changes'] = async request =>
    await this.inner.changes(request);

  public readonly read: PartitionedTable['read'] = async request => await this.inner.read(request);

  public async transact(
    transaction: PartitionedTransaction,
  ): Promise<Result<PartitionedOutcome, PlatformError>> {
    if (!this.isHolding) {
      return await this.inner.transact(transaction);
    }
    this.held.push(transaction);
    return Err(new PlatformError('outcome-unknown', 'no answer'));
  }
}
