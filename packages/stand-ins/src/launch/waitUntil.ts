const POLL_INTERVAL_MILLISECONDS = 50;

/** Polls a condition until it holds; an error of the condition counts as not holding. */
export async function waitUntil(
  condition: () => Promise<boolean>,
  timeoutMilliseconds = 30_000,
): Promise<void> {
  const deadline = performance.now() + timeoutMilliseconds;
  while (performance.now() < deadline) {
    if (await condition().catch(() => false)) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MILLISECONDS));
  }
  throw new Error(`the condition did not hold within ${timeoutMilliseconds} ms`);
}
