import { describe, expect, it } from 'vitest';

import type { LogFields } from '../../src/logging/logger.js';

import { createLogger } from '../../src/logging/logger.js';

const ISSUED_KEY = `zincring-${'aB3_-'.repeat(9).slice(0, 43)}`;

function captureLog(write: (logger: ReturnType<typeof createLogger>) => void): string {
  const lines: string[] = [];
  write(createLogger('debug', { instance: 'entry-1' }, { write: line => lines.push(line) }));
  return lines.join('');
}

describe('createLogger', () => {
  it('writes one JSON line with the given fields', () => {
    const line = captureLog(logger => {
      logger.child({ workspace: 'utility' }).info({ call: 'c', program: 'p' }, 'call finished');
    });
    expect(JSON.parse(line)).toMatchObject({
      call: 'c',
      instance: 'entry-1',
      msg: 'call finished',
      program: 'p',
      workspace: 'utility',
    });
    expect(line.trimEnd()).not.toContain('\n');
  });

  it.each(['authorization', 'body', 'input', 'key', 'token', 'headers', 'prompt'])(
    'redacts the field %s, which the types forbid',
    field => {
      const fields = { [field]: 'secret-value', nested: { [field]: 'secret-value' } };
      const line = captureLog(logger => {
        logger.warn(fields as unknown as LogFields, 'refused');
        logger.child({ [field]: 'secret-value' }).warn({}, 'refused');
      });
      expect(line).not.toContain('secret-value');
    },
  );

  it.each([ISSUED_KEY, 'Bearer abc.def/ghi==', 'authorization: bearer  s3cret'])(
    'redacts %s inside messages and text fields',
    text => {
      const line = captureLog(logger => {
        logger.error({ failure: `no answer to ${text}` }, `failed with ${text}`);
      });
      expect(line).not.toContain(ISSUED_KEY);
      expect(line).not.toMatch(/abc\.def|s3cret/);
      expect(line).toContain('[redacted]');
    },
  );
});
