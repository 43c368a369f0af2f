import type {
  Row,
  ScanPage,
  ScanRequest,
  Transaction,
  TransactionOutcome,
} from '@zincring/platform';

/**
 * Rows of a table service in memory, without fault injection; simple enough to serve as a
 * reference.
 */
export class MemoryTable {
  private readonly rows = new Map<string, Row>();
  /** Shared by all rows, so a row that is deleted and created again never repeats a version. */
  private lastVersion = 0;

  /** Number of transactions committed. */
  public commits = 0;

  public read(keys: readonly string[]): readonly Row[] {
    return keys.map(key => this.rows.get(key) ?? { key, value: '', version: 0 });
  }

  public scan(request: ScanRequest): ScanPage {
    const matching = [...this.rows.values()]
      .filter(row => row.key.startsWith(request.prefix) && row.key > (request.after ?? ''))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const rows = matching.slice(0, request.limit);
    return { next: matching.length > rows.length ? rows.at(-1)?.key : undefined, rows };
  }

  public transact(transaction: Transaction): TransactionOutcome {
    const current = this.read(transaction.checks.map(check => check.key));
    const failed = current.filter(
      (row, index) => row.version !== transaction.checks[index]?.version,
    );
    if (failed.length > 0) {
      return { rows: failed, status: 'conflict' };
    }
    this.commits++;
    return {
      rows: transaction.writes.map(write => this.write(write.key, write.value)),
      status: 'committed',
    };
  }

  private write(key: string, value: string | null): Row {
    this.lastVersion++;
    if (value === null) {
      this.rows.delete(key);
      return { key, value: '', version: 0 };
    }
    const row = { key, value, version: this.lastVersion };
    this.rows.set(key, row);
    return row;
  }
}
