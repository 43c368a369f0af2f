import csp from 'js-csp';

import type { Instruction } from 'js-csp';

import type { Result } from '../result/result.js';

import { Err, Ok } from '../result/result.js';

/** What a js-csp process body returns to the scheduler between steps. */
export type ProcessSteps<Outcome = void> = Generator<Instruction, Outcome, unknown>;

/**
 * A bounded channel between js-csp processes. It never holds `null` or `undefined`,
 * which js-csp takes for a closed channel.
 *
 * @example
 * const orders = new Channel<Order>(16);
 * orders.offer(order); // false when full or closed
 */
export class Channel<Value extends object> {
  private readonly inner: csp.Channel<Value>;
  private waiting = 0;

  public constructor(private readonly capacity: number) {
    this.inner = csp.chan<Value>(capacity);
  }

  /** Number of values put and not yet taken. */
  public get size(): number {
    return this.waiting;
  }

  /** Whether {@link Channel.close} was called. */
  public get isClosed(): boolean {
    return this.inner.isClosed();
  }

  /** Puts without waiting; `false` when the channel is full or closed. */
  public offer(value: Value): boolean {
    if (this.inner.isClosed() || this.waiting >= this.capacity) {
      return false;
    }
    this.waiting++;
    csp.putAsync(this.inner, value);
    return true;
  }

  /** Closes the channel: values already put are still delivered. */
  public close(): void {
    this.inner.close();
  }

  /** Takes the next value inside a process; `undefined` once the channel is closed and empty. */
  public *receive(): ProcessSteps<Value | undefined> {
    const value = (yield csp.take(this.inner)) as Value | null;
    if (value === null) {
      return undefined;
    }
    this.waiting--;
    return value;
  }
}

/** Carries the outcome of a promise through a js-csp channel. */
interface Settled<Value> {
  readonly result: Result<Value, unknown>;
}

/**
 * Waits for a promise inside a process; a rejection comes back as `Err`.
 *
 * @example
 * const stored = yield* settle(objectStore.putIfAbsent(name, bytes));
 */
export function* settle<Value>(promise: Promise<Value>): ProcessSteps<Result<Value, unknown>> {
  const channel = csp.chan<Settled<Value>>(1);
  promise.then(
    value => {
      csp.putAsync(channel, { result: Ok(value) });
    },
    (failure: unknown) => {
      csp.putAsync(channel, { result: Err(failure) });
    },
  );
  const settled = (yield csp.take(channel)) as Settled<Value>;
  return settled.result;
}

/**
 * Starts a js-csp process whose failure is reported instead of escaping as an uncaught exception.
 *
 * @example
 * startProcess(function* () { … }, failure => logger.error({ failure }, 'mailbox failed'));
 */
export function startProcess(
  body: () => ProcessSteps,
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
