import { isIdentifier, ZincringError } from '@zincring/core';
import { z } from 'zod';

const identifier = z.string().refine(isIdentifier, 'not an identifier');

/** Body of a request that opens a program. */
export const openProgramSchema = z.strictObject({
  deadlineSeconds: z.number().positive().optional(),
  policy: identifier,
});

/** Body of a call. */
export const callSchema = z.strictObject({
  call: identifier,
  input: z.unknown(),
  maxTokens: z.number().int().min(1).max(100_000).default(256),
  method: z.enum(['DELETE', 'GET', 'PATCH', 'POST', 'PUT']).default('POST'),
  parentCall: identifier.optional(),
  path: z.string().startsWith('/').max(2_048).default('/'),
  service: identifier,
  timeoutSeconds: z.number().positive().max(86_400).optional(),
  turn: z.number().int().min(1),
});

/** Checks a body against its schema; throws the kind `bad-request` with every problem. */
export function checkBody<Body>(schema: z.ZodType<Body>, body: unknown): Body {
  const parsed = schema.safeParse(body);
  if (parsed.success) {
    return parsed.data;
  }
  const detail = parsed.error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
  throw new ZincringError('bad-request', { detail });
}
