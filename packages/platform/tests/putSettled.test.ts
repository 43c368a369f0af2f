import { ManualTimerService } from '@zincring/core';
import { FaultSwitch, MemoryObjects, MemoryObjectStore } from '@zincring/stand-ins';
import { describe, expect, it } from 'vitest';

import { putSettled } from '../src/index.js';

const bytes = (text: string): Uint8Array => Buffer.from(text);

async function put(
  objects: MemoryObjects,
  faults: Parameters<FaultSwitch['set']>[0],
): Promise<string> {
  const timers = new ManualTimerService();
  const fault = new FaultSwitch(timers);
  fault.set(faults);
  const options = { attempts: 3, pauseMilliseconds: 10, timers };
  const settled = putSettled(new MemoryObjectStore(objects, fault), 'name', bytes('mine'), options);
  await timers.advance(1_000);
  const outcome = await settled;
  return outcome.ok ? outcome.val : outcome.val.failure;
}

describe('putSettled', () => {
  it.each([
    {},
    { lostAnswers: 1 },
    { errors: 1 },
    { errors: 1, lostAnswers: 1 },
    { lostAnswers: 2 },
  ])('stores once with %j', async faults => {
    const objects = new MemoryObjects();
    expect(await put(objects, faults)).toBe('stored');
    expect(objects.puts).toBe(1);
  });

  it.each([{}, { lostAnswers: 1 }])(
    'does not overwrite an existing object with %j',
    async faults => {
      const objects = new MemoryObjects();
      objects.putIfAbsent('name', bytes('theirs'));
      expect(await put(objects, faults)).toBe('exists');
      expect(objects.get('name')).toEqual(new Uint8Array(bytes('theirs')));
    },
  );

  it.each([
    ['unavailable', { errors: 3 }],
    ['outcome-unknown', { lostAnswers: 3 }],
  ])('gives up with %s', async (failure, faults) => {
    expect(await put(new MemoryObjects(), faults)).toBe(failure);
  });
});
