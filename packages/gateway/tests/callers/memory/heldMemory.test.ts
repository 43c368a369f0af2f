import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { Droppable, ReleaseMemory } from '../../../src/callers/memory/heldMemory.js';

import { HeldMemory } from '../../../src/callers/memory/heldMemory.js';

describe('the memory of an instance', () => {
  it.each([
    { capacityBytes: 1_000, held: 0, isFull: false, unread: 100 },
    { capacityBytes: 1_000, held: 500, isFull: false, unread: 50 },
    { capacityBytes: 1_000, held: 900, isFull: false, unread: 10 },
    { capacityBytes: 1_000, held: 1_000, isFull: true, unread: 0 },
  ])(
    'lets a response be $unread bytes ahead of its caller while $held of $capacityBytes are held',
    ({ capacityBytes, held, isFull, unread }) => {
      const memory = new HeldMemory({ capacityBytes, maximumResponseBytes: 100 });
      memory.hold(held);
      expect(memory.isFull).toBe(isFull);
      expect(memory.allowsReadingAhead(unread)).toBe(true);
      expect(memory.allowsReadingAhead(unread + 1)).toBe(false);
    },
  );

  it('is never full and lets nothing be read ahead while its size is not known', () => {
    const memory = new HeldMemory({ maximumResponseBytes: 100 });
    memory.hold(1_000_000);
    expect(memory.isFull).toBe(false);
    expect(memory.allowsReadingAhead(1)).toBe(false);
  });

  it('is free again once everything has been released, however often', () => {
    fc.assert(
      fc.property(fc.array(fc.nat({ max: 5_000 })), sizes => {
        const memory = new HeldMemory({ capacityBytes: 1_000 });
        const releases = sizes.map(size => memory.hold(size));
        expect(memory.bytes).toBe(sizes.reduce((sum, size) => sum + size, 0));
        [...releases, ...releases].forEach(release => {
          release();
        });
        expect(memory.bytes).toBe(0);
      }),
    );
  });

  it('stays within its bound under any number of callers that read nothing', () => {
    const memory = new HeldMemory({ capacityBytes: 10_000, maximumResponseBytes: 4_000 });
    const pieceBytes = 100;
    const unread = Array.from({ length: 50 }, () => 0);
    for (let round = 0; round < 200; round++) {
      unread.forEach((bytes, index) => {
        if (memory.allowsReadingAhead(bytes)) {
          memory.hold(pieceBytes);
          unread[index] = bytes + pieceBytes;
        }
      });
    }
    expect(memory.bytes).toBeLessThanOrEqual(10_000 + pieceBytes);
    expect(Math.min(...unread)).toBeGreaterThan(0);
  });
});

/** Something that has held memory since a time. */
class HeldThing implements Droppable {
  public isDropped = false;
  private readonly release: ReleaseMemory;

  public constructor(
    memory: HeldMemory,
    public readonly heldBytes: number,
    public readonly heldSince: number,
  ) {
    this.release = memory.hold(heldBytes);
    memory.addDroppable(this);
  }

  public drop(): void {
    this.isDropped = true;
    this.release();
  }
}

describe('a full memory', () => {
  const things = fc.array(
    fc.record({
      bytes: fc.integer({ max: 400, min: 1 }),
      since: fc.nat({ max: 5_000 }),
    }),
  );

  // Guards against one greedy client that uses up what ordinary ones need.
  it('gives up the most byte-seconds first, and only as much as is needed', () => {
    fc.assert(
      fc.property(things, descriptions => {
        const now = 5_000;
        const memory = new HeldMemory({ capacityBytes: 1_000 });
        const held = descriptions.map(({ bytes, since }) => new HeldThing(memory, bytes, since));
        memory.makeRoom(now);
        // A plain version: sort once and drop from the front.
        const order = descriptions
          .map((each, index) => ({ ...each, index, weight: each.bytes * (1 + now - each.since) }))
          .sort((left, right) => right.weight - left.weight || left.index - right.index);
        let bytes = descriptions.reduce((sum, each) => sum + each.bytes, 0);
        const expected = new Set<number>();
        for (const each of order) {
          if (bytes < 1_000) {
            break;
          }
          expected.add(each.index);
          bytes -= each.bytes;
        }
        expect(held.map(({ isDropped }) => isDropped)).toEqual(
          held.map((_each, index) => expected.has(index)),
        );
      }),
    );
  });
});

it.each([
  { asked: 100, held: 900, hasRoom: true },
  { asked: 101, held: 900, hasRoom: false },
  { asked: 5_000, held: 0, hasRoom: true },
])('has room for $asked bytes beside $held of 1000: $hasRoom', ({ asked, hasRoom, held }) => {
  const memory = new HeldMemory({ capacityBytes: 1_000 });
  memory.hold(held);
  expect(memory.hasRoomFor(asked)).toBe(hasRoom);
});
