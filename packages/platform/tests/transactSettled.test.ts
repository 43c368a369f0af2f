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

/** What becomes of one attempt: `late` takes effect when the test says so, or never. */
type Fate = 'answered' | 'late' | 'lost' | 'refused' | 'swallowed';

/** A table whose attempts meet the fates given, in turn; then they are answered. */
class FateTable implements TableService {
  public readonly late: Transaction[] = [];
  public beforeNext: () => void = () => undefined;

  public constructor(
    private readonly table: MemoryTable,
    private readonly fates: Fate[],
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
    this.beforeNext();
    switch (this.fates.shift() ?? 'answered') {
      case 'answered':
        return Ok(this.table.transact(transaction));
      case 'late':
        this.late.push(transaction);
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
  readonly fated: FateTable;
  readonly settle: (
    transaction: Transaction,
    areRowsKept?: boolean,
  ) => Promise<Result<TransactionOutcome, PlatformError>>;
}

function setUp(...fates: Fate[]): Setup {
  const table = new MemoryTable();
  const fated = new FateTable(table, fates);
  const timers = new ManualTimerService();
  const settle: Setup['settle'] = async (transaction, areRowsKept = true) => {
    const options = {
      areRowsKept,
      attempts: ATTEMPTS,
      pauseMilliseconds: 10,
      proofKey: 'mine',
      timers,
    };
    const settled = transactSettled(fated, transaction, options);
    const [outcome] = await Promise.all([settled, timers.advance(1_000)]);
    return outcome;
  };
  return { fated, settle, table };
}

const write: Transaction = {
  checks: [{ key: 'mine', version: 0 }],
  writes: [
    { key: 'mine', value: 'unique' },
    { key: 'head', value: '1' },
  ],
};
const rival: Transaction = { checks: [], writes: [{ key: 'mine', value: 'theirs' }] };

describe('transactSettled', () => {
  it.each<readonly Fate[]>([
    [],
    ['lost'],
    ['refused', 'lost'],
    ['lost', 'refused', 'lost'],
    ['swallowed'],
  ])('commits once after %j', async (...fates) => {
    const { settle, table } = setUp(...fates);
    const outcome = (await settle(write)).unwrap();
    expect(outcome.status).toBe('committed');
    expect(outcome.rows.map(row => [row.key, row.value])).toEqual([
      ['mine', 'unique'],
      ['head', '1'],
    ]);
    expect(table.commits).toBe(1);
  });

  it('lets a delayed duplicate do nothing after a retry committed', async () => {
    const { fated, settle, table } = setUp('late');
    expect((await settle(write)).unwrap().status).toBe('committed');
    table.transact({ checks: [], writes: [{ key: 'head', value: '2' }] });
    fated.late.forEach(transaction => table.transact(transaction));
    expect(table.read(['head'])[0]?.value).toBe('2');
  });

  it('tells a conflict when a rival was first, and no delayed attempt can undo it', async () => {
    const { fated, settle, table } = setUp('late');
    fated.beforeNext = () => table.transact({ ...rival, checks: write.checks });
    expect((await settle(write)).unwrap().status).toBe('conflict');
    fated.late.forEach(transaction => table.transact(transaction));
    expect(table.read(['mine'])[0]?.value).toBe('theirs');
  });

  it('claims no certainty when the row that had to be absent may be deleted again', async () => {
    const { fated, settle, table } = setUp('late');
    fated.beforeNext = () => table.transact({ ...rival, checks: write.checks });
    const outcome = await settle(write, false);
    expect(outcome.err && outcome.val.failure).toBe('outcome-unknown');
    table.transact({ checks: [], writes: [{ key: 'mine', value: null }] });
    fated.late.forEach(transaction => table.transact(transaction));
    expect(table.read(['mine'])[0]?.value).toBe('unique');
  });

  it('does not take an equal value from before for its own', async () => {
    const { fated, settle, table } = setUp('swallowed');
    const [row] = table.transact({ checks: [], writes: [{ key: 'mine', value: 'unique' }] }).rows;
    table.transact({ checks: [], writes: [{ key: 'guard', value: 'moved' }] });
    fated.beforeNext = () => undefined;
    const checks = [
      { key: 'mine', version: row?.version ?? 0 },
      { key: 'guard', version: 99 },
    ];
    expect((await settle({ ...write, checks })).unwrap().status).toBe('conflict');
  });

  it('does not hand out rows that another has written since', async () => {
    const { fated, settle, table } = setUp('lost');
    let attempts = 0;
    fated.beforeNext = () => {
      if (++attempts === 2) {
        table.transact({ checks: [], writes: [{ key: 'head', value: 'theirs' }] });
      }
    };
    expect((await settle(write)).unwrap().rows.map(row => row.key)).toEqual(['mine']);
  });

  it('refuses a transaction whose second arrival would take effect', async () => {
    const { settle } = setUp();
    await expect(settle({ ...write, checks: [] })).rejects.toThrow('must check and write');
  });

  it.each([
    ['unavailable', ['refused', 'refused', 'refused', 'refused']],
    ['outcome-unknown', ['refused', 'swallowed', 'refused', 'refused']],
  ] as const)('gives up with %s', async (failure, fates) => {
    const outcome = await setUp(...fates).settle(write);
    expect(outcome.err && outcome.val.failure).toBe(failure);
  });

  it('says only what is true, for every order of fates, rivals and late arrivals', async () => {
    const fate = fc.constantFrom<Fate>('answered', 'late', 'lost', 'refused', 'swallowed');
    await fc.assert(
      fc.asyncProperty(
        fc.array(fate, { maxLength: ATTEMPTS }),
        fc.option(fc.nat(ATTEMPTS - 1)),
        async (fates, rivalAt) => {
          const { fated, settle, table } = setUp(...fates);
          let attempts = 0;
          fated.beforeNext = () => {
            if (attempts++ === rivalAt) {
              table.transact({ ...rival, checks: write.checks });
            }
          };
          const outcome = await settle(write);
          const said = outcome.ok ? outcome.val.status : outcome.val.failure;
          fated.late.forEach(transaction => table.transact(transaction));
          const isApplied = table.read(['mine'])[0]?.value === 'unique';
          expect(said === 'committed' ? isApplied : true).toBe(true);
          expect(said === 'conflict' || said === 'unavailable' ? isApplied : false).toBe(false);
          expect(table.commits).toBeLessThanOrEqual(1);
        },
      ),
      { numRuns: 500, seed: SEED },
    );
  });
});
