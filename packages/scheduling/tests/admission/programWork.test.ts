import { ProgramWork } from '@zincring/scheduling';
import { describe, expect, test } from 'vitest';

function createWork(startTimes: readonly number[]): ProgramWork {
  const work = new ProgramWork();
  for (let program = 0; program < 30; program++) {
    work.recordStart(startTimes[program % startTimes.length]);
    for (let turn = 0; turn < 3; turn++) {
      work.recordRequest();
      work.recordTurn(200 + 20 * turn);
    }
  }
  return work;
}

describe(ProgramWork, () => {
  test('learns the time at engines of a whole program', () => {
    expect(createWork([2_000]).milliseconds).toBeGreaterThan(3 * 200);
    expect(createWork([2_000]).milliseconds).toBeLessThan(5 * 260);
  });

  test.each<[string, readonly number[], number | undefined, boolean]>([
    ['as much time as usual', [2_000], 2_000, true],
    ['a little less', [2_000], 1_700, true],
    ['far less than all others', [2_000], 1_500, false],
    ['far less, where times differ as much', [1_000, 3_000], 1_000, true],
    ['less than one turn takes', [100, 3_000], 90, false],
    ['no deadline', [2_000], undefined, true],
  ])('says whether a program can end in time: %s', (_name, startTimes, remaining, canEnd) => {
    expect(createWork(startTimes).canEndInTime(remaining)).toBe(canEnd);
  });

  test('says nothing of programs that it does not know', () => {
    expect(new ProgramWork().canEndInTime(1)).toBe(true);
  });
});
