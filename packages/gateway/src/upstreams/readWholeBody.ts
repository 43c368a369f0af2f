import type { ReplicaAnswer } from './replicaExchange.js';

/**
 * Reads the body of an answer to its end; `undefined` when it breaks off or is too large.
 *
 * @example
 * const body = await readWholeBody(answer, 1024 * 1024);
 */
export async function readWholeBody(
  answer: ReplicaAnswer,
  maximumBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maximumBytes) {
        answer.discard();
        return undefined;
      }
      chunks.push(chunk);
    }
  } catch {
    // An error of the body means that the connection was lost; the caller of this function logs it.
    return undefined;
  }
  return answer.body.complete ? Buffer.concat(chunks) : undefined;
}
