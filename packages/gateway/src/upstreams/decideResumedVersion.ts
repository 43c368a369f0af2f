import type { ServiceName } from '@zincring/core';

import type { SoftwareVersion } from './replica.js';

/** Service and software version of the replica that sent the first event of a stream. */
export interface StreamOrigin {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
}

/** What the store says about the origin of a stream; `unknown` if it did not answer. */
export type OriginLookup =
  | { readonly kind: 'absent' }
  | { readonly kind: 'found'; readonly origin: StreamOrigin }
  | { readonly kind: 'unknown' };

/** What this instance has observed of the versions of a service since the stream can have begun. */
export interface ObservedVersions {
  /** Service to which the request is to be sent. */
  readonly service: ServiceName;
  /** Version that was alone at some time, if it is the only such version. */
  readonly single: SoftwareVersion | undefined;
  /** Version that was alone all the time. */
  readonly constant: SoftwareVersion | undefined;
}

/**
 * Decides at which version a stream goes on; `undefined` if that is not certain. Instances record
 * the origin of a stream while they see several versions, so a stream without a record began while one
 * version was alone.
 *
 * @example
 * decideResumedVersion({ kind: 'absent' }, { single: 'v1', service, constant: undefined }); // 'v1'
 */
export function decideResumedVersion(
  lookup: OriginLookup,
  { single, service, constant }: ObservedVersions,
): SoftwareVersion | undefined {
  switch (lookup.kind) {
    case 'absent':
      return single;
    case 'found':
      return lookup.origin.service === service ? lookup.origin.version : undefined;
    case 'unknown':
      return constant;
    default:
      return lookup satisfies never;
  }
}
