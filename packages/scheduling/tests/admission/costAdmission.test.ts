import type { AdmissionRequest, ServiceLoad } from '@zincring/scheduling';

import { AdmittedShare, CostAdmission, defaultCostAdmissionOptions } from '@zincring/scheduling';
import fc from 'fast-check';
import { describe, expect, test } from 'vitest';

const SEED = 6_001;
/** Starts that a kind may go without until its share has been learned. */
const ADMITTED_BEFORE_LEARNED = 6;
const admission = new CostAdmission();

function createStart(overrides: Partial<AdmissionRequest> = {}): AdmissionRequest {
  return {
    canEndInTime: true,
    crowding: 0,
    draw: 0.5,
    higherPriorityShare: 0,
    kindAdmittedShare: 1,
    lowestPriority: 1,
    priority: 1,
    programRemainingMilliseconds: 2_500,
    relativeWork: 1,
    remainingMilliseconds: 3_000,
    shareUse: 0,
    stage: 'program-start',
    targetMilliseconds: 250,
    waitedMilliseconds: 0,
    ...overrides,
  };
}

const starts: fc.Arbitrary<AdmissionRequest> = fc
  .record({
    canEndInTime: fc.boolean(),
    crowding: fc.double({ max: 1, min: 0, noNaN: true }),
    draw: fc.double({ max: 1, min: 0, noNaN: true }),
    higherPriorityShare: fc.double({ max: 1, min: 0, noNaN: true }),
    kindAdmittedShare: fc.double({ max: 1, min: 0, noNaN: true }),
    lowestPriority: fc.integer({ max: 4, min: 0 }),
    priority: fc.integer({ max: 4, min: 0 }),
    programRemainingMilliseconds: fc.option(fc.integer({ max: 20_000, min: -5_000 }), {
      nil: undefined,
    }),
    relativeWork: fc.double({ max: 50, min: 0, noNaN: true }),
    remainingMilliseconds: fc.integer({ max: 6_000, min: -10 }),
    shareUse: fc.double({ max: 100, min: 0, noNaN: true }),
    targetMilliseconds: fc.integer({ max: 1_000, min: 1 }),
    waitedMilliseconds: fc.integer({ max: 200, min: 0 }),
  })
  .map(values =>
    createStart({ ...values, priority: Math.min(values.priority, values.lowestPriority) }),
  );
const loads: fc.Arbitrary<ServiceLoad> = fc.record({
  admittedShare: fc.double({ max: 1, min: 0, noNaN: true }),
  perSlot: fc.option(fc.double({ max: 10, min: 0, noNaN: true }), { nil: undefined }),
});

function check<Values>(property: fc.IProperty<Values>): void {
  fc.assert(property, { numRuns: 500, seed: SEED });
}

describe(CostAdmission, () => {
  test.each<[string, number | undefined, Partial<AdmissionRequest>, string]>([
    ['a start while the load is not known', undefined, {}, 'admit'],
    ['a start with free places', 0.9, { canEndInTime: false, shareUse: 9 }, 'admit'],
    ['a start with a short queue', 1.2, {}, 'admit'],
    ['a start with a long queue', 1.4, {}, 'refuse'],
    ['a start just above its limit that can return in time', 1.21, {}, 'refuse'],
    ['a start just above its limit that cannot', 1.21, { remainingMilliseconds: 500 }, 'wait'],
    ['the same far above its limit', 1.4, { remainingMilliseconds: 500 }, 'refuse'],
    [
      'a start that has waited as long as it may',
      1.21,
      { remainingMilliseconds: 500, waitedMilliseconds: 25 },
      'refuse',
    ],
    ['a start of the highest priority', 1.4, { priority: 0 }, 'admit'],
    ['the only priority', 1.4, { lowestPriority: 0, priority: 0 }, 'admit'],
    ['a start beside many of higher priority', 1.15, { higherPriorityShare: 0.7 }, 'refuse'],
    ['a start that needs much', 1.17, { relativeWork: 2 }, 'refuse'],
    ['a start that needs little', 1.23, { relativeWork: 0.5 }, 'admit'],
    ['a start of a workspace beyond its share', 1.15, { shareUse: 6 }, 'refuse'],
    ['a start of a workspace that is crowded', 1.3, { crowding: 0.3 }, 'admit'],
    ['a start that cannot end in time', 1.1, { canEndInTime: false }, 'refuse'],
    ['a start whose kind would starve', 1.4, { kindAdmittedShare: 0.2 }, 'admit'],
    ['such a start above all limits', 1.6, { kindAdmittedShare: 0.2 }, 'refuse'],
    ['a turn of a program in progress', 9, { stage: 'program-turn' }, 'admit'],
  ])('decides on %s', (_name, perSlot, overrides, kind) => {
    const decision = admission.decide(createStart(overrides), { admittedShare: 1, perSlot });
    expect(decision.kind).toBe(kind);
  });

  test.each<[Partial<AdmissionRequest>, string]>([
    [{}, 'busy'],
    [{ shareUse: 6 }, 'beyond-share'],
    [{ canEndInTime: false, shareUse: 6 }, 'too-late'],
  ])('says why a start is refused: %j', (overrides, reason) => {
    const decision = admission.decide(createStart(overrides), { admittedShare: 1, perSlot: 2 });
    expect(decision).toMatchObject({ kind: 'refuse', reason });
  });

  test('delays nothing while there is room, whoever asks', () => {
    const room = fc.double({ max: defaultCostAdmissionOptions.minimumLimit, min: 0, noNaN: true });
    check(
      fc.property(starts, room, (start, perSlot) => {
        expect(admission.decide(start, { admittedShare: 1, perSlot }).kind).toBe('admit');
      }),
    );
  });

  test('never prefers a start that costs callers less to lose', () => {
    const cheaper = fc.constantFrom<((start: AdmissionRequest) => Partial<AdmissionRequest>)[]>(
      ({ lowestPriority, priority }) => ({ priority: Math.min(lowestPriority, priority + 1) }),
      ({ relativeWork }) => ({ relativeWork: relativeWork * 2 }),
      ({ shareUse }) => ({ shareUse: shareUse + 1 }),
      ({ higherPriorityShare }) => ({ higherPriorityShare: (1 + higherPriorityShare) / 2 }),
      () => ({ canEndInTime: false }),
    );
    check(
      fc.property(starts, cheaper, (start, worsen) => {
        const worse = { ...start, ...worsen(start) };
        expect(admission.computeLimit(worse)).toBeLessThanOrEqual(admission.computeLimit(start));
      }),
    );
  });

  test('bounds waits by the time in which callers expect a response, and the time to return by what they have left', () => {
    check(
      fc.property(starts, loads, (start, load) => {
        const { programRemainingMilliseconds = Infinity, remainingMilliseconds } = start;
        const decision = admission.decide(start, load);
        if (decision.kind === 'wait') {
          const waited = start.waitedMilliseconds + decision.milliseconds;
          expect(decision.milliseconds).toBeGreaterThan(0);
          expect(waited).toBeLessThanOrEqual(0.1 * start.targetMilliseconds);
        }
        if (decision.kind === 'refuse') {
          const usable = Math.max(0, Math.min(remainingMilliseconds, programRemainingMilliseconds));
          expect(decision.retryAfterMilliseconds).toBeLessThanOrEqual(Math.ceil(usable / 3));
        }
      }),
    );
  });

  test('serves each kind at least a quarter as often as all while any is served', () => {
    check(
      fc.property(
        fc.array(fc.tuple(fc.boolean(), fc.double({ max: 1.5, min: 1.3, noNaN: true })), {
          maxLength: 600,
          minLength: 400,
        }),
        asked => {
          const all = { admitted: 0, asked: 0, share: new AdmittedShare() };
          const low = { admitted: 0, asked: 0, share: new AdmittedShare() };
          for (const [isLow, perSlot] of asked) {
            const start = createStart({
              higherPriorityShare: 0.5,
              kindAdmittedShare: isLow ? low.share.share : 1,
              lowestPriority: 2,
              priority: isLow ? 2 : 0,
            });
            const load = { admittedShare: all.share.share, perSlot };
            const isAdmitted = admission.decide(start, load).kind === 'admit';
            for (const group of isLow ? [all, low] : [all]) {
              group.share.record(isAdmitted);
              group.asked++;
              group.admitted += isAdmitted ? 1 : 0;
            }
          }
          const leastAdmitted = (0.25 * low.asked * all.admitted) / all.asked;
          expect(low.admitted).toBeGreaterThanOrEqual(leastAdmitted - ADMITTED_BEFORE_LEARNED);
        },
      ),
    );
  });
});
