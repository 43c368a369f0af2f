import type { Result } from '@zincring/core';
import type { z } from 'zod';

import { Err, Ok } from '@zincring/core';

import type { PlatformFailure } from '../platformError.js';
import type { HttpExchangeResponse } from './httpExchange.js';

import { PlatformError } from '../platformError.js';

/**
 * Checks a JSON answer of the platform against its schema.
 *
 * @example
 * const page = parseAnswer(scanPageSchema, response, 'unavailable');
 */
export function parseAnswer<Value>(
  schema: z.ZodType<Value>,
  response: HttpExchangeResponse,
  failure: PlatformFailure,
): Result<Value, PlatformError> {
  if (response.status >= 400) {
    return Err(new PlatformError(failure, `status ${response.status}`));
  }
  let json: unknown;
  try {
    json = JSON.parse(response.body.toString('utf8'));
  } catch {
    return Err(new PlatformError(failure, 'the answer is not JSON'));
  }
  const parsed = schema.safeParse(json);
  if (!parsed.success) {
    return Err(new PlatformError(failure, `unexpected answer: ${parsed.error.message}`));
  }
  return Ok(parsed.data);
}
