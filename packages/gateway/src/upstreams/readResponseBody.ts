import type { TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

import type { HeldMemory } from '../callers/memory/heldMemory.js';
import type { BytePacer } from '../util/bytePacer.js';
import type { ReplicaResponse } from './replicaExchange.js';

import { readBoundedBody } from '../util/readBoundedBody.js';

/** What {@link readResponseBody} needs. */
export interface ResponseBodyOptions {
  /** Maximum size of the body, in bytes. */
  readonly maximumBytes: number;
  readonly memory: HeldMemory;
  readonly pacer: BytePacer;
  /** Ends the wait for memory; the body then breaks off with its connection. */
  readonly signal: AbortSignal;
  readonly timers: TimerService;
}

/** Size up to which a body is read while memory is full, in bytes: that of ordinary responses. */
const ALWAYS_READ_BYTES = 65_536;
/** Interval at which a longer body looks for memory, in milliseconds. */
const MEMORY_CHECK_MILLISECONDS = 20;

/**
 * Reads the complete body of a response; `undefined` if it is truncated or too large. A long body is read
 * at a bounded rate, and waits unread while memory is full.
 *
 * @example
 * const body = await readResponseBody(response, { maximumBytes, memory, signal, timers });
 */
export async function readResponseBody(
  response: ReplicaResponse,
  options: ResponseBodyOptions,
): Promise<Buffer | undefined> {
  let pacedBytes = ALWAYS_READ_BYTES;
  const body = await readBoundedBody(response.body, options.maximumBytes, async size => {
    if (size > pacedBytes) {
      options.pacer.record(size - pacedBytes);
      pacedBytes = size;
      await waitForMemory(options);
    }
  });
  if (body.ok) {
    return body.val;
  }
  if (body.val === 'too-large') {
    response.discard();
  }
  return undefined;
}

async function waitForMemory({
  memory,
  pacer,
  signal,
  timers,
}: ResponseBodyOptions): Promise<void> {
  const delay = pacer.delayMilliseconds();
  if (delay > 0) {
    await sleep(timers, delay, signal);
  }
  memory.makeRoom(timers.now());
  while (memory.isFull && !signal.aborted) {
    await sleep(timers, MEMORY_CHECK_MILLISECONDS, signal);
    memory.makeRoom(timers.now());
  }
}
