/** Pause between two looks at a condition, in milliseconds. */
const LOOK_PAUSE_MILLISECONDS = 50;

/** Waits until a condition holds; an error counts as not yet. */
export async function waitUntil(
  condition: () => Promise<boolean>,
  timeoutMilliseconds = 30_000,
): Promise<void> {
  const giveUpAt = performance.now() + timeoutMilliseconds;
  while (performance.now() < giveUpAt) {
    if (await condition().catch(() => false)) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, LOOK_PAUSE_MILLISECONDS));
  }
  throw new Error(`the condition did not hold within ${timeoutMilliseconds} ms`);
}
