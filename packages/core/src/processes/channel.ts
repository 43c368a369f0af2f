import csp from 'js-csp';

import type { Instruction } from 'js-csp';

import type { Result } from '../result/result.js';

import { Err, Ok } from '../result/result.js';

/** Generator that js-csp runs as a process: it yields instructions to the js-csp scheduler. */
export type CspGenerator<Outcome = void> = Generator<Instruction, Outcome, unknown>;

/**
 * Bounded channel between js-csp processes. Values must be objects, because js-csp uses `null` to
 * signal a closed channel.
 *
 * @example
 * const orders = new Channel<Order>(16);
 * orders.offer(order); // false when full or closed
 */
export class Channel<Value extends object> {
  private readonly cspChannel: csp.Channel<Value>;
  private queuedCount = 0;

  public constructor(private readonly capacity: number) {
    this.cspChannel = csp.chan<Value>(capacity);
  }

  /** Number of values offered and not yet received. */
  public get size(): number {
    return this.queuedCount;
  }

  /** Whether {@link Channel.close} has been called. */
  public get isClosed(): boolean {
    return this.cspChannel.isClosed();
  }

  /** Adds a value without waiting; returns `false` when the channel is full or closed. */
  public offer(value: Value): boolean {
    if (this.cspChannel.isClosed() || this.queuedCount >= this.capacity) {
      return false;
    }
    this.queuedCount++;
    csp.putAsync(this.cspChannel, value);
    return true;
  }

  /** Closes the channel; values already in it are still delivered. */
  public close(): void {
    this.cspChannel.close();
  }

  /** Waits for the next value in a process; `undefined` once the channel is closed and empty. */
  public *receive(): CspGenerator<Value | undefined> {
    const value = (yield csp.take(this.cspChannel)) as Value | null;
    if (value === null) {
      return undefined;
    }
    this.queuedCount--;
    return value;
  }
}

/** Outcome of a promise, wrapped in an object for a js-csp channel. */
interface SettledPromise<Value> {
  readonly result: Result<Value, unknown>;
}

/**
 * Waits for a promise inside a process; a rejection is returned as `Err`.
 *
 * @example
 * const stored = yield* settle(objectStore.putIfAbsent(name, bytes));
 */
export function* settle<Value>(promise: Promise<Value>): CspGenerator<Result<Value, unknown>> {
  const channel = csp.chan<SettledPromise<Value>>(1);
  promise.then(
    value => {
      csp.putAsync(channel, { result: Ok(value) });
    },
    (failure: unknown) => {
      csp.putAsync(channel, { result: Err(failure) });
    },
  );
  const settled = (yield csp.take(channel)) as SettledPromise<Value>;
  return settled.result;
}

/**
 * Starts a js-csp process; an error thrown in it is passed to `onFailure` instead of becoming an
 * uncaught exception.
 *
 * @example
 * startProcess(function* () { … }, failure => logger.error({ failure }, 'mailbox failed'));
 */
export function startProcess(
  body: () => CspGenerator,
  onFailure: (failure: unknown) => void,
): void {
  csp.go(function* guarded() {
    try {
      yield* body();
    } catch (failure) {
      onFailure(failure);
    }
  });
}
