import { readFileSync } from 'node:fs';

import { allErrorKinds, describeErrorKind } from '@zincring/core';
import { expect, it } from 'vitest';

it('docs/CALLERS.md shows the table of error kinds', () => {
  const page = readFileSync(new URL('../../../../docs/CALLERS.md', import.meta.url), 'utf8');
  const refusals = page.slice(page.indexOf('## Refusals'));
  const rows = refusals
    .split('\n')
    .filter(line => line.startsWith('| `'))
    .map(line => line.split('|').map(cell => cell.trim()));
  const shown = rows.map(([, kind, status, ran, retry, text]) => [kind, status, ran, retry, text]);
  const expected = allErrorKinds.map(kind => {
    const { ran, retryAfterSeconds, status, text } = describeErrorKind(kind);
    return [`\`${kind}\``, String(status), ran, String(retryAfterSeconds ?? '-'), text];
  });
  expect(shown).toEqual(expected);
});
