import type { BytePacer, TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

import type { HeldMemory, ReleaseMemory } from '../callers/memory/heldMemory.js';
import type { ReplicaResponse } from './replicaExchange.js';

import { toHeaderMap } from '../util/headerList.js';
import { readBoundedBody } from '../util/readBoundedBody.js';

/** What {@link readResponseBody} needs. */
export interface ResponseBodyOptions {
  /** Maximum size of the body, in bytes. */
  readonly maximumBytes: number;
  /** Memory of responses. */
  readonly memory: HeldMemory;
  readonly pacer: BytePacer;
  /** Ends the wait for memory; the body then breaks off with its connection. */
  readonly signal: AbortSignal;
  readonly timers: TimerService;
}

/** Size up to which a body is read while memory is full, in bytes: that of ordinary responses. */
const ALWAYS_READ_BYTES = 16_384;
/** Interval at which a longer body looks for memory, in milliseconds. */
const MEMORY_CHECK_MILLISECONDS = 20;

/**
 * Reads the complete body of a response; `undefined` if it is truncated or too large. A long body is read
 * at a bounded rate, and waits unread until memory has room for all of it.
 *
 * @example
 * const body = await readResponseBody(response, { maximumBytes, memory, pacer, signal, timers });
 */
export async function readResponseBody(
  response: ReplicaResponse,
  options: ResponseBodyOptions,
): Promise<Buffer | undefined> {
  const { maximumBytes, pacer, signal, timers } = options;
  let release: ReleaseMemory | undefined;
  let pacedBytes = ALWAYS_READ_BYTES;
  const body = await readBoundedBody(response.body, maximumBytes, async size => {
    if (size <= pacedBytes) {
      return;
    }
    pacer.record(size - pacedBytes);
    pacedBytes = size;
    release ??= await reserveMemory(estimateSize(response, maximumBytes), options);
    const delay = pacer.delayMilliseconds();
    if (delay > 0) {
      await sleep(timers, delay, signal);
    }
  });
  // The response to the caller counts the body from here on.
  release?.();
  if (body.ok) {
    return body.val;
  }
  if (body.val === 'too-large') {
    response.discard();
  }
  return undefined;
}

/** Size that the head announces, or the maximum. */
function estimateSize({ headers }: ReplicaResponse, maximumBytes: number): number {
  const length = toHeaderMap(headers).get('content-length');
  return length === undefined ? maximumBytes : Math.min(Number(length), maximumBytes);
}

/** Waits until all of a body finds room, so that those that are being read always end. */
async function reserveMemory(
  bytes: number,
  { memory, signal, timers }: ResponseBodyOptions,
): Promise<ReleaseMemory> {
  while (!memory.hasRoomFor(bytes) && !signal.aborted) {
    await sleep(timers, MEMORY_CHECK_MILLISECONDS, signal);
  }
  return memory.hold(bytes);
}
