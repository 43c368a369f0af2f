import type { ServiceName } from '@zincring/core';

import type { SoftwareVersion } from './replica.js';

/** Service and software version of the replica that sent the first event of a stream. */
export interface StreamOrigin {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
}

/**
 * What the store says about the origin of a stream: `unnamed` if the caller did not say which stream
 * it takes up, `unknown` if the store did not answer.
 */
export type OriginLookup =
  | { readonly kind: 'absent' }
  | { readonly kind: 'found'; readonly origin: StreamOrigin }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'unnamed' };

/** What is known of the versions of a service since the stream can have begun. */
export interface ObservedVersions {
  /** Service to which the request is to be sent. */
  readonly service: ServiceName;
  /** Version at which a stream without a record began, if that is certain. */
  readonly assumed: SoftwareVersion | undefined;
  /** Version that was alone all the time, as observed and as recorded. */
  readonly sole: SoftwareVersion | undefined;
}

/**
 * Decides at which version a stream goes on; `undefined` if that is not certain. Instances record the
 * origin of a stream unless each of them would assume its version.
 *
 * @example
 * decideResumedVersion({ kind: 'absent' }, { assumed: 'v1', service, sole: undefined }); // 'v1'
 */
export function decideResumedVersion(
  lookup: OriginLookup,
  { assumed, service, sole }: ObservedVersions,
): SoftwareVersion | undefined {
  switch (lookup.kind) {
    case 'absent':
      return assumed;
    case 'found':
      return lookup.origin.service === service ? lookup.origin.version : undefined;
    case 'unknown':
      return undefined;
    case 'unnamed':
      return sole;
    default:
      return lookup satisfies never;
  }
}
