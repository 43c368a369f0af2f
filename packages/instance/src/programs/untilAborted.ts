/**
 * Passes values on until the signal aborts, also when the source itself ignores it.
 *
 * @example
 * for await (const frame of untilAborted(source, signal)) { … }
 */
export async function* untilAborted<Value>(
  source: AsyncIterable<Value>,
  signal: AbortSignal,
): AsyncGenerator<Value> {
  const iterator = source[Symbol.asyncIterator]();
  let stop: () => void = () => undefined;
  const aborted = new Promise<undefined>(resolve => {
    stop = () => {
      resolve(undefined);
    };
    signal.addEventListener('abort', stop, { once: true });
  });
  try {
    while (!signal.aborted) {
      const next = await Promise.race([iterator.next(), aborted]);
      if (next === undefined) {
        break;
      }
      if (next.done === true) {
        return;
      }
      yield next.value;
    }
    throw signal.reason;
  } finally {
    signal.removeEventListener('abort', stop);
    iterator.return?.().catch(() => undefined);
  }
}
