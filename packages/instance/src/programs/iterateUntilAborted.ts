/**
 * Yields the values of a source. If the signal aborts first, throws the signal's reason, even if
 * the source ignores the signal.
 *
 * @example
 * for await (const frame of iterateUntilAborted(source, signal)) { … }
 */
export async function* iterateUntilAborted<Value>(
  source: AsyncIterable<Value>,
  signal: AbortSignal,
): AsyncGenerator<Value> {
  const iterator = source[Symbol.asyncIterator]();
  let resolveAborted: () => void = () => undefined;
  const aborted = new Promise<undefined>(resolve => {
    resolveAborted = () => {
      resolve(undefined);
    };
    signal.addEventListener('abort', resolveAborted, { once: true });
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
    signal.removeEventListener('abort', resolveAborted);
    iterator.return?.().catch(() => undefined);
  }
}
