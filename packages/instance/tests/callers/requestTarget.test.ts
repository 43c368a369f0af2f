import { ZincringError } from '@zincring/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { parseRequestTarget } from '../../src/callers/requestTarget.js';

describe(parseRequestTarget, () => {
  it.each([
    ['/', '/', ''],
    ['/status', '/status', ''],
    ['/status/', '/status/', ''],
    ['/a/b?x=1&y=../..', '/a/b', '?x=1&y=../..'],
    ['/a?x=1?y', '/a', '?x=1?y'],
    ['/%7Ecity/%41', '/~city/A', ''],
    ['/caf%C3%A9', '/caf%C3%A9', ''],
    ['/a..b/...', '/a..b/...', ''],
    ['http://host:80/status?x', '/status', '?x'],
    ['http://host', '/', ''],
  ])('accepts %s', (target, pathname, search) => {
    expect(parseRequestTarget(target)).toMatchObject({ pathname, search });
  });

  it.each([
    '*',
    'host:80',
    '',
    '/open/../admin',
    '/open/%2e%2e/admin',
    '/open/.%2E/admin',
    '/open/..;/admin',
    '/open/..%2fadmin',
    '/open/..%5cadmin',
    '/open/%252e%252e/admin',
    '/open/./x',
    '/open/..',
    '//admin',
    '/open//admin',
    '/open\\..\\admin',
    '/open/%00',
    '/open/%0d%0a',
    '/open/%zz',
    '/open/%2',
    '/open#fragment',
    '/open/ü',
    '/a b',
    'http://host/../x',
  ])('refuses %s', target => {
    expect(() => parseRequestTarget(target)).toThrow(ZincringError);
  });

  it('never returns a path that another URL parser resolves outside its prefix', () => {
    const fragment = fc.constantFrom(
      ...['open', '..', '.', '/', '//', '%2e', '%2E%2e', '%2f', '%5c', '\\', ';', '%25', 'x', '?'],
    );
    fc.assert(
      fc.property(fc.array(fragment, { maxLength: 10 }), fragments => {
        let pathname;
        try {
          ({ pathname } = parseRequestTarget(`/open/${fragments.join('')}`));
        } catch (failure) {
          expect(failure).toBeInstanceOf(ZincringError);
          return;
        }
        const reparsed = new URL(pathname, 'http://service').pathname;
        expect(reparsed).toBe(pathname);
        expect(reparsed.startsWith('/open/')).toBe(true);
      }),
      { numRuns: 3_000, seed: 42 },
    );
  });
});
