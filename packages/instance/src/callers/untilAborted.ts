/** Result of waiting for the next item: the item, or that the signal aborted first. */
type Step<Item> =
  { readonly kind: 'aborted' } | { readonly kind: 'next'; readonly result: IteratorResult<Item> };

/**
 * Iterates until the end or until the signal aborts, whichever comes first. When the signal aborts,
 * the pending item is no longer waited for.
 *
 * @example
 * for await (const frame of untilAborted(frames, signal)) { … }
 */
export async function* untilAborted<Item>(
  items: AsyncIterable<Item>,
  signal: AbortSignal,
): AsyncGenerator<Item> {
  const iterator = items[Symbol.asyncIterator]();
  try {
    for (;;) {
      const step = await nextUnlessAborted(iterator, signal);
      if (step.kind === 'aborted' || step.result.done === true) {
        return;
      }
      yield step.result.value;
    }
  } finally {
    // Not awaited: a generator settles `return` only after its pending item.
    iterator.return?.().catch(() => undefined);
  }
}

async function nextUnlessAborted<Item>(
  iterator: AsyncIterator<Item>,
  signal: AbortSignal,
): Promise<Step<Item>> {
  if (signal.aborted) {
    return { kind: 'aborted' };
  }
  return await new Promise((resolve, reject) => {
    const abort = (): void => {
      resolve({ kind: 'aborted' });
    };
    signal.addEventListener('abort', abort, { once: true });
    iterator
      .next()
      .then(
        result => {
          resolve({ kind: 'next', result });
        },
        (failure: unknown) => {
          reject(failure instanceof Error ? failure : new Error(String(failure)));
        },
      )
      .finally(() => {
        signal.removeEventListener('abort', abort);
      });
  });
}
