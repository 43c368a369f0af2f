import type { IncomingMessage, ServerResponse } from 'node:http';

import { ManualTimerService } from '@zincring/core';
import { PassThrough } from 'node:stream';
import { setImmediate } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';

import { HeldMemory } from '../../src/callers/memory/heldMemory.js';
import { RequestBody } from '../../src/listeners/requestBody.js';

const MAXIMUM_BYTES = 1_000_000;

interface Upload {
  readonly response: PassThrough;
  send(bytes: number): Promise<void>;
  finish(): Promise<string>;
}

function startUpload(memory: HeldMemory, timers: ManualTimerService): Upload {
  const headers = { 'transfer-encoding': 'chunked' };
  const request = Object.assign(new PassThrough(), { complete: false, headers });
  const response = new PassThrough();
  const body = new RequestBody(
    request as unknown as IncomingMessage,
    response as unknown as ServerResponse,
    { maximumBytes: MAXIMUM_BYTES, memory, timers },
  );
  return {
    finish: async () => {
      request.complete = true;
      request.end();
      const result = await body.read();
      return result.ok ? `read ${String(result.val.length)}` : result.val;
    },
    response,
    send: async bytes => {
      request.write(Buffer.alloc(bytes, 'x'));
      await setImmediate();
    },
  };
}

describe('bodies that arrive while memory is short', () => {
  // Guards against unfinished bodies that fill the memory, so that ordinary requests are refused.
  it('give way to those that arrive: first the one that has held the most for the longest', async () => {
    const timers = new ManualTimerService();
    const memory = new HeldMemory({ capacityBytes: 1_000 });
    const stalled = startUpload(memory, timers);
    await stalled.send(600);
    await timers.advance(1_000);
    const recent = startUpload(memory, timers);
    await recent.send(500);
    const ordinary = startUpload(memory, timers);
    await ordinary.send(100);
    expect(await ordinary.finish()).toBe('read 100');
    expect(await recent.finish()).toBe('read 500');
    expect(await stalled.finish()).toBe('memory-full');
  });

  it('give way to a smaller one that is sent slowly', async () => {
    const timers = new ManualTimerService();
    const memory = new HeldMemory({ capacityBytes: 10_000 });
    const large = startUpload(memory, timers);
    await large.send(9_000);
    const slow = startUpload(memory, timers);
    for (let piece = 0; piece < 5; piece++) {
      await slow.send(400);
      await timers.advance(100);
    }
    expect(await slow.finish()).toBe('read 2000');
    expect(await large.finish()).toBe('memory-full');
  });
});

describe('a body in pieces of one byte', () => {
  // Guards against an object for each chunk, which takes some hundred times the memory of the body.
  it('is counted as the few buffers that it is kept in', async () => {
    const memory = new HeldMemory({ capacityBytes: 10_000_000 });
    const upload = startUpload(memory, new ManualTimerService());
    for (let piece = 0; piece < 300; piece++) {
      await upload.send(1);
    }
    expect(memory.bytes).toBeLessThanOrEqual(4_096);
    expect(await upload.finish()).toBe('read 300');
  });
});

describe('a body whose sender leaves', () => {
  // Guards against a request that runs with an empty body: its sender left between the last byte and the reading.
  it.each([100, 100_000])('is broken, also when all of its %i bytes have arrived', async bytes => {
    const memory = new HeldMemory({ capacityBytes: 10_000_000 });
    const upload = startUpload(memory, new ManualTimerService());
    await upload.send(bytes);
    upload.response.emit('close');
    expect(memory.bytes).toBe(0);
    expect(await upload.finish()).toBe('broken');
  });
});

// Guards against a body that is read without end once it has been given up.
it('a body that was given up is still too large beyond its limit', async () => {
  const timers = new ManualTimerService();
  const memory = new HeldMemory({ capacityBytes: 1_000 });
  const upload = startUpload(memory, timers);
  await upload.send(1_000);
  await upload.send(1_000);
  await upload.send(MAXIMUM_BYTES);
  expect(await upload.finish()).toBe('too-large');
});
