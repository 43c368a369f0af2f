/** The next item of an iteration, or that the wait for it was given up. */
type Step<Item> =
  { readonly kind: 'aborted' } | { readonly kind: 'next'; readonly result: IteratorResult<Item> };

/**
 * Iterates until the end or until the signal aborts, whichever comes first. An item that is being
 * waited for when the signal aborts is not waited for any longer.
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
    // Not awaited: the iterator answers only after the item that it is waiting for.
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
