import type { ServiceName } from '@zincring/core';

import { describe, expect, it } from 'vitest';

import type { OriginLookup } from '../../src/upstreams/decideResumedVersion.js';
import type { SoftwareVersion } from '../../src/upstreams/replica.js';

import { decideResumedVersion } from '../../src/upstreams/decideResumedVersion.js';

const service = 'engines' as ServiceName;
const v1 = 'v1' as SoftwareVersion;
const v2 = 'v2' as SoftwareVersion;
const foundAt = (name: string): OriginLookup => ({
  kind: 'found',
  origin: { service: name as ServiceName, version: v2 },
});

describe(decideResumedVersion, () => {
  it.each([
    ['the record counts, whatever was observed', foundAt('engines'), [v1, v1], v2],
    ['a stream of another service does not go on', foundAt('others'), [v1, v1], undefined],
    ['without a record, the version that is assumed', { kind: 'absent' }, [v1, undefined], v1],
    ['without a record, none is assumed', { kind: 'absent' }, [undefined, v1], undefined],
    ['without an answer, none, whatever was observed', { kind: 'unknown' }, [v1, v1], undefined],
    ['without a name, the version that was alone throughout', { kind: 'unnamed' }, [v1, v1], v1],
    [
      'without a name, a version not alone throughout',
      { kind: 'unnamed' },
      [v1, undefined],
      undefined,
    ],
  ] as const)('%s', (_name, lookup, [assumed, sole], expected) => {
    expect(decideResumedVersion(lookup, { assumed, service, sole })).toBe(expected);
  });
});
