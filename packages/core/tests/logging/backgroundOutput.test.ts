import { describe, expect, it } from 'vitest';

import { BackgroundOutput } from '../../src/logging/backgroundOutput.js';
import { ManualTimerService } from '../../src/time/manualTimerService.js';

const LINE = '{"msg":"request served"}\n';

function makeOutput(): { output: BackgroundOutput; timers: ManualTimerService; writes: string[] } {
  const writes: string[] = [];
  const timers = new ManualTimerService();
  const output = new BackgroundOutput({ write: text => writes.push(text) }, timers);
  return { output, timers, writes };
}

describe(BackgroundOutput, () => {
  it('writes the lines of a quarter of a second at once, in order', async () => {
    const { output, timers, writes } = makeOutput();
    output.write('{"n":1}\n');
    await timers.advance(249);
    output.write('{"n":2}\n');
    expect(writes).toEqual([]);
    await timers.advance(1);
    expect(writes).toEqual(['{"n":1}\n{"n":2}\n']);
    output.write('{"n":3}\n');
    await timers.advance(250);
    expect(writes.slice(1)).toEqual(['{"n":3}\n']);
  });

  it('writes many lines without delay, and loses none', () => {
    const { output, writes } = makeOutput();
    for (let line = 0; line < 10_000; line++) {
      output.write(LINE);
    }
    expect(writes.length).toBeGreaterThan(10);
    output.flush();
    expect(writes.join('')).toBe(LINE.repeat(10_000));
  });

  it('writes nothing without lines', async () => {
    const { output, timers, writes } = makeOutput();
    output.flush();
    await timers.advance(1_000);
    expect(writes).toEqual([]);
  });
});
