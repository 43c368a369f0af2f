import type { ServerResponse } from 'node:http';

/**
 * Writes a part of an answer and waits while the caller does not read. A caller that reads nothing
 * for the whole time loses its connection.
 *
 * @param timeoutMilliseconds how long the caller may read nothing
 */
export async function writePatiently(
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
