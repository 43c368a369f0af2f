import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import { allErrorKinds } from '@zincring/core';
import { describe, expect, it } from 'vitest';

const packages = join(import.meta.dirname, '../../..');

function readSources(folder: 'src' | 'tests'): string {
  return readdirSync(packages)
    .map(name => join(packages, name, folder))
    .filter(path => existsSync(path))
    .flatMap(path =>
      readdirSync(path, { encoding: 'utf8', recursive: true }).map(file => join(path, file)),
    )
    .filter(file => file.endsWith('.ts') && !/errorKinds\.(test\.)?ts$/.test(file))
    .map(file => readFileSync(file, 'utf8'))
    .join('\n');
}

describe('every error kind', () => {
  const sources = readSources('src');
  const tests = readSources('tests');

  it.each(allErrorKinds.map(kind => ({ kind })))(
    '$kind is created in a source file',
    ({ kind }) => {
      expect(sources).toMatch(new RegExp(`Error(Class)?\\(\\s*(\\w+ \\? )?[^;]*'${kind}'`));
    },
  );

  it.each(allErrorKinds.map(kind => ({ kind })))('$kind is expected in a test', ({ kind }) => {
    expect(tests).toMatch(new RegExp(`'${kind}['\\s]`));
  });
});
