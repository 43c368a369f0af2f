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
const LARGEST_ROW_BYTES = 64 * 1024;

/** Operators and readers, each with faults of its own, before one store. */
class Store {
  public readonly table = new MemoryTable();
  public readonly objects = new MemoryObjects();
  public readonly timers = new ManualTimerService();

  public client(): { readonly changes: VersionedChanges; readonly faults: FaultSwitch } {
    const faults = new FaultSwitch(this.timers);
    const changes = new VersionedChanges({
      name: 'configuration',
      objects: new MemoryObjectStore(this.objects, faults),
      table: new MemoryTableService(this.table, faults),
      timers: this.timers,
    });
    return { changes, faults };
  }

  public async wait<Value>(promise: Promise<Value>): Promise<Value> {
    const [value] = await Promise.all([promise, this.timers.advance(10_000)]);
    return value;
  }

  public async lines(): Promise<readonly string[]> {
    const update = (await this.client().changes.readUpdate({ after: 0 })).unwrap();
    return [...applyChanges(new Set(update.snapshot?.lines ?? []), update.changes).unwrap()];
  }

  /** Accepts changes one after the other, each putting one line in. */
  public async acceptMany(count: number): Promise<void> {
    const { changes } = this.client();
    for (let index = 0; index < count; index++) {
      const head = (await changes.readHead()).unwrap();
      const proposed = proposal(`id-${index}`, [`line ${index}`]);
      const current = Array.from({ length: index }, (_, line) => `line ${line}`);
      expect((await changes.accept(head, proposed, current)).unwrap().status).toBe('accepted');
    }
  }
}

function proposal(
  changeId: string,
  added: readonly string[],
  removed: readonly string[] = [],
): ProposedChange {
  return { added, at: 1, changeId, reason: 'why', removed, requester: 'who' };
}

describe('VersionedChanges', () => {
  it('accepts one of two racing changes and shows the other what changed', async () => {
    const store = new Store();
    const [first, second] = [store.client().changes, store.client().changes];
    const heads = [(await first.readHead()).unwrap(), (await second.readHead()).unwrap()];
    const outcomes = await Promise.all([
      first.accept(heads[0]!, proposal('a', ['from first']), []),
      second.accept(heads[1]!, proposal('b', ['from second']), []),
    ]);
    const statuses = outcomes.map(outcome => outcome.unwrap().status);
    expect([...statuses].sort()).toEqual(['accepted', 'conflict']);
    const lost = outcomes[statuses.indexOf('conflict')]!.unwrap();
    const winner = statuses.indexOf('accepted') === 0 ? 'from first' : 'from second';
    expect(lost).toMatchObject({ changes: [{ added: [winner], requester: 'who', version: 1 }] });
    expect(await store.lines()).toEqual([winner]);
  });

  it.each([1, 2, 4])('accepts a change once although %d answers are lost', async lostAnswers => {
    const store = new Store();
    const { changes, faults } = store.client();
    const head = (await changes.readHead()).unwrap();
    faults.set({ lostAnswers });
    const outcome = await store.wait(changes.accept(head, proposal('a', ['line']), []));
    expect(outcome.unwrap()).toEqual({ isRepeated: false, status: 'accepted', version: 1 });
    expect(store.table.commits).toBe(1);
  });

  it('settles a change by its identifier after every answer was lost and others followed', async () => {
    const store = new Store();
    const { changes, faults } = store.client();
    const head = (await changes.readHead()).unwrap();
    faults.set({ lostAnswers: 5 });
    const unknown = await store.wait(changes.accept(head, proposal('a', ['line']), []));
    expect(unknown.err && unknown.val.failure).toBe('outcome-unknown');
    const other = store.client().changes;
    const next = (await other.readHead()).unwrap();
    (await other.accept(next, proposal('b', ['more']), ['line'])).unwrap();
    const again = (await changes.readHead()).unwrap();
    const outcome = await changes.accept(again, proposal('a', ['line']), ['line', 'more']);
    expect(outcome.unwrap()).toEqual({ isRepeated: true, status: 'accepted', version: 1 });
    expect(await store.lines()).toEqual(['line', 'more']);
  });

  it('keeps large differences in objects and rows within the limit of the table', async () => {
    const store = new Store();
    const added = Array.from({ length: 3_000 }, (_, index) => `${index} ${'é'.repeat(50)}`);
    const { changes } = store.client();
    const head = (await changes.readHead()).unwrap();
    (await changes.accept(head, proposal('a', added), [])).unwrap();
    const { rows } = store.table.scan({ limit: 100, prefix: '' });
    expect(Math.max(...rows.map(row => Buffer.byteLength(row.value)))).toBeLessThan(
      LARGEST_ROW_BYTES,
    );
    expect(await store.lines()).toEqual(added);
  });

  it('gives a new reader a whole version near the end, and an old reader the same lines', async () => {
    const store = new Store();
    await store.acceptMany(300);
    const { changes } = store.client();
    const update = (await changes.readUpdate({ after: 0 })).unwrap();
    expect(update.snapshot?.version).toBeGreaterThan(200);
    expect(update.changes.length).toBeLessThan(100);
    const followed = (await changes.readChanges(0)).unwrap();
    const lines = applyChanges(new Set(), followed).unwrap();
    expect(new Set(await store.lines())).toEqual(lines);
    expect(followed.map(change => change.version)).toEqual(followed.map((_, index) => index + 1));
    const objects = store.objects.list({ limit: 100, prefix: 'configuration/snapshot/' });
    expect(objects.names.length).toBeLessThanOrEqual(2);
  });

  it('gives nothing to a reader that knows the newest version', async () => {
    const store = new Store();
    await store.acceptMany(2);
    const update = await store.client().changes.readUpdate({ after: 0, known: 2 });
    expect(update.unwrap()).toEqual({ changes: [], newest: 2, snapshot: undefined });
  });

  it('counts every accepted change once, for any faults of racing operators', async () => {
    const fault = fc.record({ errors: fc.nat(2), lostAnswers: fc.nat(6) });
    const step = fc.record({ fault, operator: fc.nat(2), retriesIdentifier: fc.boolean() });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 12, minLength: 1 }), async steps => {
        const store = new Store();
        const operators = [store.client(), store.client(), store.client()];
        const said = new Map<string, number>();
        let lastIdentifier = 'none';
        for (const [index, { fault: faults, operator, retriesIdentifier }] of steps.entries()) {
          const { changes, faults: switches } = operators[operator]!;
          switches.set({ errors: 0, lostAnswers: 0 });
          const head = (await changes.readHead()).unwrap();
          switches.set(faults);
          const changeId = retriesIdentifier ? lastIdentifier : `id-${index}`;
          lastIdentifier = changeId;
          const proposed = proposal(changeId, [`line ${changeId} ${index}`]);
          const outcome = await store.wait(changes.accept(head, proposed, []));
          if (outcome.ok && outcome.val.status === 'accepted') {
            expect(said.get(changeId) ?? outcome.val.version).toBe(outcome.val.version);
            said.set(changeId, outcome.val.version);
          }
        }
        const history = (await store.client().changes.readChanges(0)).unwrap();
        const identifiers = history.map(change => change.changeId);
        expect(new Set(identifiers).size).toBe(identifiers.length);
        for (const [changeId, version] of said) {
          expect(history[version - 1]?.changeId).toBe(changeId);
        }
      }),
      { numRuns: 100, seed: SEED },
    );
  });
});
