import type { PartitionedTable } from '@zincring/platform';

import { ManualTimerService } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { TurnId } from '../../src/callers/requestFacts.js';
import type { SweptTable } from '../../src/store/rowSweeper.js';
import type { TurnStore } from '../../src/programs/turnStore.js';
import type { ConversationTurn, TurnOutcome } from '../support/conversation.js';

import {
  encodeTurn,
  sweptTurns,
  TURN_TABLE,
  turnPartitions,
} from '../../src/programs/storedTurnRows.js';
import { ConversationFleet, RETENTION_MILLISECONDS } from '../support/conversation.js';
import { MemoryTable } from '../support/memoryTable.js';

/** Pause between the turns of a conversation, in milliseconds: just below the retention. */
const PAUSE_MILLISECONDS = 55_000;
/** Turns of a conversation: it lasts for several times the lifetime of a row. */
const TURNS = 14;
/** Time after its last turn by which nothing of a conversation of one turn is stored, in milliseconds. */
const SHORT_LIFETIME_MILLISECONDS = 3 * RETENTION_MILLISECONDS;
/** Time after its last turn by which nothing of any conversation is stored, in milliseconds. */
const LONGEST_LIFETIME_MILLISECONDS = 18 * RETENTION_MILLISECONDS;

/** Time for which sweepers keep an expired row, in milliseconds. */
const CLOCK_MARGIN_MILLISECONDS = 10_000;

/** Sweeper of builds up to 6151ff0, which knows the expiry in a turn's own row and nothing else. */
const earlierSweeper: SweptTable = {
  ...sweptTurns,
  expiresAt: ({ key, value }) => {
    const [head = ''] = value.toString().split('\n');
    return key.includes('~') ? undefined : (JSON.parse(head) as { expiresAt: number }).expiresAt;
  },
};

describe('the history of a conversation that is older than the lifetime of its first rows', () => {
  let timers: ManualTimerService;
  let store: MemoryTable;
  let fleet: ConversationFleet;

  beforeEach(() => {
    timers = new ManualTimerService();
    store = new MemoryTable(timers);
    fleet = new ConversationFleet(timers, store);
  });

  /** Runs a conversation with pauses and sweeps in between; returns the history that its next turn continues. */
  async function converse(
    chooseInstance: (turn: number) => TurnStore | Promise<TurnStore>,
    turns = TURNS,
    sweptTable = sweptTurns,
  ): Promise<string> {
    let history = '';
    for (let turn = 0; turn < turns; turn++) {
      const input = `question ${String(turn)}\n`;
      const ran = await fleet.run(await chooseInstance(turn), {
        id: `t${String(turn)}`,
        input,
        outputs: [`answer ${String(turn)}`],
        previous: turn === 0 ? undefined : `t${String(turn - 1)}`,
      });
      expect(ran).toEqual({ body: `${history}${input}`, failure: undefined, isStored: true });
      history += `${input}answer ${String(turn)}\n`;
      await timers.advance(PAUSE_MILLISECONDS);
      await fleet.sweep(sweptTable);
    }
    return history;
  }

  async function goOn(turn: Partial<ConversationTurn> = {}): Promise<TurnOutcome> {
    const previous = `t${String(TURNS - 1)}`;
    return await fleet.run(fleet.start(), { id: 'next', input: 'next', previous, ...turn });
  }

  /** Stores a turn as builds up to 6151ff0 do. */
  function storeAsEarlierBuild(id: string, input: string, ancestors: readonly string[]): void {
    const turn = {
      ancestors: ancestors as readonly TurnId[],
      expiresAt: timers.wallClock() + 2 * RETENTION_MILLISECONDS,
      id: id as TurnId,
      input: Buffer.from(input),
      output: Buffer.alloc(0),
      workspace: 'clerks' as never,
    };
    for (const { key, value } of encodeTurn(turn, 65_536)) {
      store.put({ key, partition: turnPartitions.of(id), table: TURN_TABLE }, value.toString());
    }
  }

  // Guards against: the first turns of a chain in use were swept, so that 503 was all that an instance without them in its cache could answer.
  it('is whole at another instance of another availability zone', async () => {
    const instance = fleet.start();
    const history = await converse(() => instance);
    expect((await goOn()).body).toBe(`${history}next`);
  });

  // Guards against: the same, where each turn arrives through another availability zone.
  it('is whole when no two turns reach the same instance', async () => {
    await converse(() => fleet.start());
  });

  // Guards against: the same after all processes were killed.
  it('is whole after a restart of all instances', async () => {
    let instance = fleet.start();
    await converse(turn => {
      instance = turn % 5 === 4 ? fleet.start() : instance;
      return instance;
    });
  });

  // Guards against: the same where other conversations have taken the place in the cache.
  it('is whole when the cache of its instance overflows', async () => {
    const instance = fleet.start();
    await converse(async turn => {
      for (let other = 0; other < 22; other++) {
        const id = `other-${String(turn)}-${String(other)}`;
        await fleet.run(instance, { id, input: 'x'.repeat(600_000) });
      }
      return instance;
    }, 5);
  });

  // Guards against: a branch of a conversation was without the turns that it shares with another branch.
  it('is whole in each of several lines that continue the same turn', async () => {
    let lines = [{ history: '', previous: undefined as string | undefined }];
    for (let turn = 0; turn < TURNS; turn++) {
      const nextLines: typeof lines = [];
      const branches = turn === 2 || turn === 7 ? 2 : 1;
      for (const [number, { history, previous }] of lines.entries()) {
        for (let branch = 0; branch < branches; branch++) {
          const id = `t${String(turn)}-${String(number)}-${String(branch)}`;
          const input = `${id}\n`;
          const ran = await fleet.run(fleet.start(), { id, input, previous });
          expect(ran).toEqual({ body: `${history}${input}`, failure: undefined, isStored: true });
          nextLines.push({ history: `${history}${input}`, previous: id });
        }
      }
      lines = nextLines;
      await timers.advance(PAUSE_MILLISECONDS);
      await fleet.sweep();
    }
    expect(lines).toHaveLength(4);
  });

  // Guards against: an instance of an earlier build swept rows that a newer one had extended elsewhere.
  it('is whole beside sweepers of an earlier build', async () => {
    await converse(() => fleet.start(), TURNS, earlierSweeper);
  });

  // Guards against: a conversation that an earlier build began was lost once a newer one went on with it.
  it('is whole when an earlier build has stored its first turns', async () => {
    storeAsEarlierBuild('t0', 'A', []);
    await timers.advance(PAUSE_MILLISECONDS);
    storeAsEarlierBuild('t1', 'B', ['t0']);
    await timers.advance(PAUSE_MILLISECONDS);
    await fleet.sweep();
    const third = await fleet.run(fleet.start(), { id: 't2', input: 'C', previous: 't1' });
    expect(third).toMatchObject({ body: 'ABC', isStored: true });
    await timers.advance(PAUSE_MILLISECONDS);
    await fleet.sweep();
    expect(store.get({ key: 't0', partition: turnPartitions.of('t0'), table: TURN_TABLE })).toBe(
      undefined,
    );
    expect((await goOn({ previous: 't2' })).body).toBe('ABCnext');
  });

  // Guards against: a sweep that removed the first rows while they were stored again left the new turn without them.
  it.each([-20, -10, -5, 0, 5, 10, 20])(
    'is whole when a sweep begins %d ms after its first row may be removed and it is stored again',
    async offsetMilliseconds => {
      const instance = fleet.start();
      const history = await converse(() => instance, 2);
      const [{ value } = { value: Buffer.alloc(0) }] = store.list(TURN_TABLE);
      const [head = ''] = value.toString().split('\n');
      const { expiresAt } = JSON.parse(head) as { readonly expiresAt: number };
      const sweepsAt = expiresAt + CLOCK_MARGIN_MILLISECONDS + offsetMilliseconds;
      await timers.advance(sweepsAt - timers.wallClock());
      const running = fleet.run(instance, { id: 'late', input: 'late', previous: 't1' });
      const [late] = await Promise.all([running, fleet.sweep()]);
      expect(late).toMatchObject({ body: `${history}late`, isStored: true });
      await timers.advance(PAUSE_MILLISECONDS);
      await fleet.sweep();
      expect((await goOn({ previous: 'late' })).body).toBe(`${history}latenext`);
    },
  );

  // Guards against: each of many branches stored the whole history again.
  it('is stored again once for all turns at an instance that continue the same one', async () => {
    const instance = fleet.start();
    await converse(() => instance, 2);
    const isSegment = ({ key }: { readonly key: string }): boolean => key.startsWith('history-');
    for (let branch = 0; branch < 10; branch++) {
      const id = `branch-${String(branch)}`;
      expect((await fleet.run(instance, { id, input: id, previous: 't1' })).isStored).toBe(true);
    }
    expect(store.list(TURN_TABLE).filter(isSegment)).toHaveLength(1);
  });

  // Guards against: a turn counted as stored although the store was away when its history had to be stored again.
  it('is never left behind by a turn that is stored while the store is away', async () => {
    const instance = fleet.start();
    const history = await converse(() => instance, 2);
    await timers.advance(4_000);
    const composed = fleet.run(instance, { id: 'during', input: 'during', previous: 't1' });
    store.faults.isRefusing = true;
    expect((await composed).isStored).toBe(false);
    store.faults.isRefusing = false;
    await fleet.sweep();
    const after = await fleet.run(instance, { id: 'after', input: 'after', previous: 't1' });
    expect(after).toMatchObject({ body: `${history}after`, isStored: true });
    await timers.advance(PAUSE_MILLISECONDS);
    await fleet.sweep();
    expect((await goOn({ previous: 'after' })).body).toBe(`${history}afternext`);
  });

  // Guards against: an instance that dies between the writes of a history and of its turn left a chain that cannot be continued.
  it('is whole after a crash between its renewal and the write of the turn', async () => {
    const history = await converse(() => fleet.start(), 2);
    const client = store.client();
    let transactions = 0;
    const dying = fleet.start({
      ...client,
      transact: async transaction =>
        transactions++ === 0
          ? await client.transact(transaction)
          : await new Promise(() => undefined),
    });
    void fleet.run(dying, { id: 'cut', input: 'cut', previous: 't1' });
    await timers.advance(2_000);
    expect(transactions).toBe(2);
    expect((await goOn({ previous: 'cut' })).failure).toBe('program-not-found');
    expect((await goOn({ id: 'again', previous: 't1' })).body).toBe(`${history}next`);
    await timers.advance(LONGEST_LIFETIME_MILLISECONDS);
    await fleet.sweep();
    expect(store.list(TURN_TABLE)).toEqual([]);
  });

  // Guards against: a history above the size of one transaction could not be stored again.
  it.each([
    { inputBytes: 600_000, rowBytes: 65_536 },
    { inputBytes: 200_000, rowBytes: 12_288 },
  ])('is whole when it is larger than one transaction (%o)', async ({ inputBytes, rowBytes }) => {
    const instances = new ConversationFleet(timers, store, rowBytes);
    const input = 'x'.repeat(inputBytes);
    for (let turn = 0; turn < 6; turn++) {
      const previous = turn === 0 ? undefined : `t${String(turn - 1)}`;
      const ran = await instances.run(instances.start(), {
        id: `t${String(turn)}`,
        input,
        previous,
      });
      expect(ran.body?.length).toBe(inputBytes * (turn + 1));
      expect(ran.isStored).toBe(true);
      await timers.advance(PAUSE_MILLISECONDS);
      await fleet.sweep();
    }
  });

  it('is not continued from one of its segments', async () => {
    await converse(() => fleet.start());
    const segments = store.list(TURN_TABLE).filter(({ key }) => /^history-[^~]+$/.test(key));
    expect(segments.length).toBeGreaterThan(0);
    for (const { key } of segments) {
      expect((await goOn({ previous: key })).failure).toBe('program-not-found');
    }
  });

  // Guards against: the history of a turn that is no longer kept was answered 503 for good.
  it('is refused for good once its retention is over and a part of it is removed', async () => {
    storeAsEarlierBuild('t0', 'A', []);
    await timers.advance(PAUSE_MILLISECONDS);
    storeAsEarlierBuild('t1', 'B', ['t0']);
    store.remove({ key: 't0', partition: turnPartitions.of('t0'), table: TURN_TABLE });
    expect((await goOn({ previous: 't1' })).failure).toBe('store-unavailable');
    await timers.advance(2 * RETENTION_MILLISECONDS + 1_000);
    expect((await goOn({ previous: 't1' })).failure).toBe('program-not-found');
  });

  it('is removed after its retention', async () => {
    await fleet.run(fleet.start(), { id: 'alone', input: 'A' });
    await timers.advance(SHORT_LIFETIME_MILLISECONDS);
    await fleet.sweep();
    expect(store.list(TURN_TABLE)).toEqual([]);
    await converse(() => fleet.start(), 30);
    await timers.advance(LONGEST_LIFETIME_MILLISECONDS);
    await fleet.sweep();
    expect(store.list(TURN_TABLE)).toEqual([]);
  });

  it.each([5_000, PAUSE_MILLISECONDS])(
    'costs few writes at 57 turns and 110,000 tokens, with pauses of %d ms',
    async pauseMilliseconds => {
      const turns = 57;
      const input = 'x'.repeat(7_700);
      let writes = 0;
      const client = store.client();
      const countingClient: PartitionedTable = {
        ...client,
        transact: async transaction => {
          writes++;
          return await client.transact(transaction);
        },
      };
      for (let turn = 0; turn < turns; turn++) {
        const previous = turn === 0 ? undefined : `t${String(turn - 1)}`;
        const instance = fleet.start(countingClient);
        const ran = await fleet.run(instance, { id: `t${String(turn)}`, input, previous });
        expect(ran.isStored).toBe(true);
        await timers.advance(pauseMilliseconds);
        await fleet.sweep();
      }
      const contentBytes = turns * input.length;
      expect(writes).toBeLessThan(1.25 * turns);
      expect(store.writtenBytes).toBeLessThan(3 * contentBytes);
    },
  );
});
