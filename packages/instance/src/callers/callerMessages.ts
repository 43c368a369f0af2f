import { isIdentifier, ZincringError } from '@zincring/core';
import { z } from 'zod';

import { parseRequestTarget } from './requestTarget.js';

const identifier = z.string().refine(isIdentifier, 'not an identifier');

/** Maximum deadline of a program in seconds: one year. */
const MAXIMUM_DEADLINE_SECONDS = 31_536_000;

const upstreamPath = z
  .string()
  .startsWith('/')
  .max(2_048)
  .refine(isValidRequestTarget, 'not a path without dot segments');

/** Schema of the body of a request that opens a program. */
export const openProgramSchema = z.strictObject({
  deadlineSeconds: z.number().positive().max(MAXIMUM_DEADLINE_SECONDS).optional(),
  policy: identifier,
  program: identifier.optional(),
});

/** Schema of the body of a call. */
export const callSchema = z.strictObject({
  call: identifier,
  input: z.unknown().refine(input => input !== undefined, 'expected a value'),
  maxTokens: z.number().int().min(1).max(100_000).default(256),
  method: z.enum(['DELETE', 'GET', 'PATCH', 'POST', 'PUT']).default('POST'),
  parentCall: identifier.optional(),
  path: upstreamPath.default('/'),
  service: identifier,
  timeoutSeconds: z.number().positive().max(86_400).optional(),
  turn: z.number().int().min(1).max(1_000_000),
});

/**
 * Validates a body against its schema; throws the kind `bad-request`, which lists every problem.
 */
export function validateBody<Body>(schema: z.ZodType<Body>, body: unknown): Body {
  const parsed = schema.safeParse(body);
  if (parsed.success) {
    return parsed.data;
  }
  const detail = parsed.error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
  throw new ZincringError('bad-request', { detail });
}

function isValidRequestTarget(text: string): boolean {
  try {
    parseRequestTarget(text);
    return true;
  } catch {
    return false;
  }
}
