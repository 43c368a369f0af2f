import type { Result } from '@zincring/core';
import type { z } from 'zod';

import { Err, Ok } from '@zincring/core';

import type { PlatformFailure } from '../platformError.js';
import type { HttpClientResponse } from './httpClient.js';

import { PlatformError } from '../platformError.js';

/**
 * Parses a JSON response of the platform and validates it against a schema.
 *
 * @returns the parsed value, or an error of the given kind
 *
 * @example
 * const page = parseResponse(scanPageSchema, response, 'unavailable');
 */
export function parseResponse<Value>(
  schema: z.ZodType<Value>,
  response: HttpClientResponse,
  failure: PlatformFailure,
): Result<Value, PlatformError> {
  if (response.status >= 400) {
    return Err(new PlatformError(failure, `status ${response.status}`));
  }
  let json: unknown;
  try {
    json = JSON.parse(response.body.toString('utf8'));
  } catch {
    return Err(new PlatformError(failure, 'the response is not JSON'));
  }
  const parsed = schema.safeParse(json);
  if (!parsed.success) {
    return Err(new PlatformError(failure, `unexpected response: ${parsed.error.message}`));
  }
  return Ok(parsed.data);
}
