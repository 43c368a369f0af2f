import type { ProposedChange } from '../../src/index.js';

import { ManualTimerService } from '@zincring/core';
import {
  FaultSwitch,
  MemoryObjects,
  MemoryObjectStore,
  MemoryTable,
  MemoryTableService,
} from '@zincring/stand-ins';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { applyChanges, VersionedChanges } from '../../src/index.js';

const SEED = 31_337;
const MAXIMUM_ROW_BYTES = 64 * 1024;

/** Store that is shared by clients, each with faults of its own. */
class TestStore {
  public readonly table = new MemoryTable();
  public readonly objects = new MemoryObjects();
  public readonly timers = new ManualTimerService();

  public createClient(): { readonly changes: VersionedChanges; readonly faults: FaultSwitch } {
    const faults = new FaultSwitch(this.timers);
    const changes = new VersionedChanges({
      name: 'configuration',
      objects: new MemoryObjectStore(this.objects, faults),
      table: new MemoryTableService(this.table, faults),
      timers: this.timers,
    });
    return { changes, faults };
  }

  public async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    const [value] = await Promise.all([promise, this.timers.advance(10_000)]);
    return value;
  }

  public async readLines(): Promise<readonly string[]> {
    const update = (await this.createClient().changes.readUpdate({ after: 0 })).unwrap();
    return [...applyChanges(new Set(update.snapshot?.lines ?? []), update.changes).unwrap()];
  }

  /** Accepts changes one after the other, each of which adds one line. */
  public async acceptMany(count: number): Promise<void> {
    const { changes } = this.createClient();
    for (let index = 0; index < count; index++) {
      const head = (await changes.readHead()).unwrap();
      const proposed = createProposal(`id-${index}`, [`line ${index}`]);
      const current = Array.from({ length: index }, (_, line) => `line ${line}`);
      expect((await changes.accept(head, proposed, current)).unwrap().status).toBe('accepted');
    }
  }
}

function createProposal(
  changeId: string,
  added: readonly string[],
  removed: readonly string[] = [],
): ProposedChange {
  return { added, at: 1, changeId, reason: 'why', removed, requester: 'who' };
}

describe('VersionedChanges', () => {
  it('accepts one of two concurrent changes and reports it to the other', async () => {
    const store = new TestStore();
    const [first, second] = [store.createClient().changes, store.createClient().changes];
    const heads = [(await first.readHead()).unwrap(), (await second.readHead()).unwrap()];
    const outcomes = await Promise.all([
      first.accept(heads[0]!, createProposal('a', ['from first']), []),
      second.accept(heads[1]!, createProposal('b', ['from second']), []),
    ]);
    const statuses = outcomes.map(outcome => outcome.unwrap().status);
    expect([...statuses].sort()).toEqual(['accepted', 'conflict']);
    const loser = outcomes[statuses.indexOf('conflict')]!.unwrap();
    const winningLine = statuses.indexOf('accepted') === 0 ? 'from first' : 'from second';
    expect(loser).toMatchObject({
      changes: [{ added: [winningLine], requester: 'who', version: 1 }],
    });
    expect(await store.readLines()).toEqual([winningLine]);
  });

  it.each([1, 2, 4])('accepts a change once when %d responses are lost', async lostAnswers => {
    const store = new TestStore();
    const { changes, faults } = store.createClient();
    const head = (await changes.readHead()).unwrap();
    faults.set({ lostAnswers });
    const outcome = await store.advanceUntilSettled(
      changes.accept(head, createProposal('a', ['line']), []),
    );
    expect(outcome.unwrap()).toEqual({ isRepeated: false, status: 'accepted', version: 1 });
    expect(store.table.commits).toBe(1);
  });

  it('finds an accepted change by its identifier after all responses were lost and others followed', async () => {
    const store = new TestStore();
    const { changes, faults } = store.createClient();
    const head = (await changes.readHead()).unwrap();
    faults.set({ lostAnswers: 5 });
    const unknown = await store.advanceUntilSettled(
      changes.accept(head, createProposal('a', ['line']), []),
    );
    expect(unknown.err && unknown.val.failure).toBe('outcome-unknown');
    const other = store.createClient().changes;
    const next = (await other.readHead()).unwrap();
    (await other.accept(next, createProposal('b', ['more']), ['line'])).unwrap();
    const latestHead = (await changes.readHead()).unwrap();
    const outcome = await changes.accept(latestHead, createProposal('a', ['line']), [
      'line',
      'more',
    ]);
    expect(outcome.unwrap()).toEqual({ isRepeated: true, status: 'accepted', version: 1 });
    expect(await store.readLines()).toEqual(['line', 'more']);
  });

  it('stores large changes in objects and keeps rows within the limit of the table', async () => {
    const store = new TestStore();
    const added = Array.from({ length: 3_000 }, (_, index) => `${index} ${'é'.repeat(50)}`);
    const { changes } = store.createClient();
    const head = (await changes.readHead()).unwrap();
    (await changes.accept(head, createProposal('a', added), [])).unwrap();
    const { rows } = store.table.scan({ limit: 100, prefix: '' });
    expect(Math.max(...rows.map(row => Buffer.byteLength(row.value)))).toBeLessThan(
      MAXIMUM_ROW_BYTES,
    );
    expect(await store.readLines()).toEqual(added);
  });

  it('gives a new reader a recent snapshot that agrees with the sequence of all changes', async () => {
    const store = new TestStore();
    await store.acceptMany(300);
    const { changes } = store.createClient();
    const update = (await changes.readUpdate({ after: 0 })).unwrap();
    expect(update.snapshot?.version).toBeGreaterThan(200);
    expect(update.changes.length).toBeLessThan(100);
    const allChanges = (await changes.readChanges(0)).unwrap();
    const lines = applyChanges(new Set(), allChanges).unwrap();
    expect(new Set(await store.readLines())).toEqual(lines);
    expect(allChanges.map(change => change.version)).toEqual(
      allChanges.map((_, index) => index + 1),
    );
    const objects = store.objects.list({ limit: 100, prefix: 'configuration/snapshot/' });
    expect(objects.names.length).toBeLessThanOrEqual(2);
  });

  it('gives an empty update to a reader that knows the newest version', async () => {
    const store = new TestStore();
    await store.acceptMany(2);
    const update = await store.createClient().changes.readUpdate({ after: 0, known: 2 });
    expect(update.unwrap()).toEqual({ changes: [], newest: 2, snapshot: undefined });
  });

  it('records every accepted change once for any faults of several operators', async () => {
    const fault = fc.record({ errors: fc.nat(2), lostAnswers: fc.nat(6) });
    const step = fc.record({ fault, operator: fc.nat(2), retriesIdentifier: fc.boolean() });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 12, minLength: 1 }), async steps => {
        const store = new TestStore();
        const operators = [store.createClient(), store.createClient(), store.createClient()];
        const acceptedVersions = new Map<string, number>();
        let lastChangeId = 'none';
        for (const [index, { fault: faults, operator, retriesIdentifier }] of steps.entries()) {
          const { changes, faults: faultSwitch } = operators[operator]!;
          faultSwitch.set({ errors: 0, lostAnswers: 0 });
          const head = (await changes.readHead()).unwrap();
          faultSwitch.set(faults);
          const changeId = retriesIdentifier ? lastChangeId : `id-${index}`;
          lastChangeId = changeId;
          const proposed = createProposal(changeId, [`line ${changeId} ${index}`]);
          const outcome = await store.advanceUntilSettled(changes.accept(head, proposed, []));
          if (outcome.ok && outcome.val.status === 'accepted') {
            expect(acceptedVersions.get(changeId) ?? outcome.val.version).toBe(outcome.val.version);
            acceptedVersions.set(changeId, outcome.val.version);
          }
        }
        const history = (await store.createClient().changes.readChanges(0)).unwrap();
        const identifiers = history.map(change => change.changeId);
        expect(new Set(identifiers).size).toBe(identifiers.length);
        for (const [changeId, version] of acceptedVersions) {
          expect(history[version - 1]?.changeId).toBe(changeId);
        }
      }),
      { numRuns: 100, seed: SEED },
    );
  });
});
