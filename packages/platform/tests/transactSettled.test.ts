import type { Result } from '@zincring/core';
import type {
  Row,
  ScanPage,
  ScanRequest,
  TableService,
  Transaction,
  TransactionOutcome,
} from '../src/index.js';

import { Err, ManualTimerService, Ok } from '@zincring/core';
import { MemoryTable } from '@zincring/stand-ins';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { PlatformError, transactSettled } from '../src/index.js';

const SEED = 880;
const ATTEMPTS = 4;

/**
 * Outcome of one attempt: `answered` gets the response of the table, `refused` is known to have no
 * effect, `lost` takes effect without a response, `swallowed` never takes effect, and `late` takes
 * effect only if the test applies it later.
 */
type ScriptedOutcome = 'answered' | 'late' | 'lost' | 'refused' | 'swallowed';

/** Table whose attempts have the scripted outcomes in order, and `answered` after the last one. */
class ScriptedTable implements TableService {
  public readonly delayedTransactions: Transaction[] = [];
  public beforeAttempt: () => void = () => undefined;

  public constructor(
    private readonly table: MemoryTable,
    private readonly scriptedOutcomes: ScriptedOutcome[],
  ) {}

  public async read(keys: readonly string[]): Promise<Result<readonly Row[], PlatformError>> {
    return await Promise.resolve(Ok(this.table.read(keys)));
  }

  public async scan(request: ScanRequest): Promise<Result<ScanPage, PlatformError>> {
    return await Promise.resolve(Ok(this.table.scan(request)));
  }

  public async transact(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>> {
    await Promise.resolve();
    this.beforeAttempt();
    switch (this.scriptedOutcomes.shift() ?? 'answered') {
      case 'answered':
        return Ok(this.table.transact(transaction));
      case 'late':
        this.delayedTransactions.push(transaction);
        return Err(new PlatformError('outcome-unknown', 'delayed'));
      case 'lost':
        this.table.transact(transaction);
        return Err(new PlatformError('outcome-unknown', 'lost'));
      case 'refused':
        return Err(new PlatformError('unavailable', 'refused'));
      case 'swallowed':
        return Err(new PlatformError('outcome-unknown', 'swallowed'));
    }
  }
}

interface Setup {
  readonly table: MemoryTable;
  readonly scriptedTable: ScriptedTable;
  readonly settle: (
    transaction: Transaction,
    areAbsentRowsNeverDeleted?: boolean,
  ) => Promise<Result<TransactionOutcome, PlatformError>>;
}

function setUp(...scriptedOutcomes: ScriptedOutcome[]): Setup {
  const table = new MemoryTable();
  const scriptedTable = new ScriptedTable(table, scriptedOutcomes);
  const timers = new ManualTimerService();
  const settle: Setup['settle'] = async (transaction, areAbsentRowsNeverDeleted = true) => {
    const options = {
      areAbsentRowsNeverDeleted,
      attempts: ATTEMPTS,
      pauseMilliseconds: 10,
      commitMarkerKey: 'mine',
      timers,
    };
    const pendingOutcome = transactSettled(scriptedTable, transaction, options);
    const [outcome] = await Promise.all([pendingOutcome, timers.advance(1_000)]);
    return outcome;
  };
  return { scriptedTable, settle, table };
}

const write: Transaction = {
  checks: [{ key: 'mine', version: 0 }],
  writes: [
    { key: 'mine', value: 'unique' },
    { key: 'head', value: '1' },
  ],
};
const competingTransaction: Transaction = {
  checks: [],
  writes: [{ key: 'mine', value: 'theirs' }],
};

describe('transactSettled', () => {
  it.each<readonly ScriptedOutcome[]>([
    [],
    ['lost'],
    ['refused', 'lost'],
    ['lost', 'refused', 'lost'],
    ['swallowed'],
  ])('commits once after %j', async (...scriptedOutcomes) => {
    const { settle, table } = setUp(...scriptedOutcomes);
    const outcome = (await settle(write)).unwrap();
    expect(outcome.status).toBe('committed');
    expect(outcome.rows.map(row => [row.key, row.value])).toEqual([
      ['mine', 'unique'],
      ['head', '1'],
    ]);
    expect(table.commits).toBe(1);
  });

  it('leaves a delayed duplicate without effect after a retry committed', async () => {
    const { scriptedTable, settle, table } = setUp('late');
    expect((await settle(write)).unwrap().status).toBe('committed');
    table.transact({ checks: [], writes: [{ key: 'head', value: '2' }] });
    scriptedTable.delayedTransactions.forEach(transaction => table.transact(transaction));
    expect(table.read(['head'])[0]?.value).toBe('2');
  });

  it('reports a conflict if another writer was first, and delayed attempts cannot overwrite it', async () => {
    const { scriptedTable, settle, table } = setUp('late');
    scriptedTable.beforeAttempt = () =>
      table.transact({ ...competingTransaction, checks: write.checks });
    expect((await settle(write)).unwrap().status).toBe('conflict');
    scriptedTable.delayedTransactions.forEach(transaction => table.transact(transaction));
    expect(table.read(['mine'])[0]?.value).toBe('theirs');
  });

  it('reports an unknown outcome if the row that had to be absent may be deleted again', async () => {
    const { scriptedTable, settle, table } = setUp('late');
    scriptedTable.beforeAttempt = () =>
      table.transact({ ...competingTransaction, checks: write.checks });
    const outcome = await settle(write, false);
    expect(outcome.err && outcome.val.failure).toBe('outcome-unknown');
    table.transact({ checks: [], writes: [{ key: 'mine', value: null }] });
    scriptedTable.delayedTransactions.forEach(transaction => table.transact(transaction));
    expect(table.read(['mine'])[0]?.value).toBe('unique');
  });

  it('does not mistake an equal value from before the transaction for its own write', async () => {
    const { scriptedTable, settle, table } = setUp('swallowed');
    const [row] = table.transact({ checks: [], writes: [{ key: 'mine', value: 'unique' }] }).rows;
    table.transact({ checks: [], writes: [{ key: 'guard', value: 'moved' }] });
    scriptedTable.beforeAttempt = () => undefined;
    const checks = [
      { key: 'mine', version: row?.version ?? 0 },
      { key: 'guard', version: 99 },
    ];
    expect((await settle({ ...write, checks })).unwrap().status).toBe('conflict');
  });

  it('does not return rows that another writer has overwritten since', async () => {
    const { scriptedTable, settle, table } = setUp('lost');
    let attempts = 0;
    scriptedTable.beforeAttempt = () => {
      if (++attempts === 2) {
        table.transact({ checks: [], writes: [{ key: 'head', value: 'theirs' }] });
      }
    };
    expect((await settle(write)).unwrap().rows.map(row => row.key)).toEqual(['mine']);
  });

  it('rejects a transaction that would take effect again if it arrived twice', async () => {
    const { settle } = setUp();
    await expect(settle({ ...write, checks: [] })).rejects.toThrow('must check and write');
  });

  it.each([
    ['unavailable', ['refused', 'refused', 'refused', 'refused']],
    ['outcome-unknown', ['refused', 'swallowed', 'refused', 'refused']],
  ] as const)('gives up with %s', async (failure, scriptedOutcomes) => {
    const outcome = await setUp(...scriptedOutcomes).settle(write);
    expect(outcome.err && outcome.val.failure).toBe(failure);
  });

  it('reports only correct outcomes for every order of failures, competing writes and delayed attempts', async () => {
    const scriptedOutcome = fc.constantFrom<ScriptedOutcome>(
      'answered',
      'late',
      'lost',
      'refused',
      'swallowed',
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(scriptedOutcome, { maxLength: ATTEMPTS }),
        fc.option(fc.nat(ATTEMPTS - 1)),
        async (scriptedOutcomes, competingAttempt) => {
          const { scriptedTable, settle, table } = setUp(...scriptedOutcomes);
          let attempts = 0;
          scriptedTable.beforeAttempt = () => {
            if (attempts++ === competingAttempt) {
              table.transact({ ...competingTransaction, checks: write.checks });
            }
          };
          const outcome = await settle(write);
          const reported = outcome.ok ? outcome.val.status : outcome.val.failure;
          scriptedTable.delayedTransactions.forEach(transaction => table.transact(transaction));
          const isApplied = table.read(['mine'])[0]?.value === 'unique';
          expect(reported === 'committed' ? isApplied : true).toBe(true);
          expect(reported === 'conflict' || reported === 'unavailable' ? isApplied : false).toBe(
            false,
          );
          expect(table.commits).toBeLessThanOrEqual(1);
        },
      ),
      { numRuns: 500, seed: SEED },
    );
  });
});
