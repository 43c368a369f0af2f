import type { ServerResponse } from 'node:http';

/**
 * Writes a part of a response and waits until the write buffer has drained. The connection is
 * closed if that takes longer than the timeout.
 *
 * @param timeoutMilliseconds maximum time until the buffer has drained
 */
export async function writeWithBackpressure(
  response: ServerResponse,
  data: string | Uint8Array,
  timeoutMilliseconds: number,
): Promise<void> {
  if (response.destroyed || response.write(data)) {
    return;
  }
  await new Promise<void>(resolve => {
    const finish = (): void => {
      clearTimeout(timeout);
      response.off('drain', finish);
      response.off('close', finish);
      resolve();
    };
    const timeout = setTimeout(() => {
      response.destroy();
    }, timeoutMilliseconds);
    response.once('drain', finish);
    response.once('close', finish);
  });
}
