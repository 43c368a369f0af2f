import type { ServerResponse } from 'node:http';

import { ZincringError } from '@zincring/core';

/**
 * Throws the kind `method-not-allowed` and sets the `Allow` header, unless the method is allowed.
 */
export function refuseMethod(
  method: string,
  allowed: readonly string[],
  response: ServerResponse,
): void {
  if (!allowed.includes(method)) {
    response.setHeader('allow', allowed.join(', '));
    throw new ZincringError('method-not-allowed');
  }
}
