import type { AvailabilityZone, Result, ServiceName } from '@zincring/core';

import type { PlatformError } from '../platformError.js';

/** State of a directory entry; only `live` instances and replicas may receive new work. */
export type DirectoryState = 'leaving' | 'live';

/** Role of the process at an address: an instance of zincring or an upstream replica. */
export type DirectoryRole =
  { readonly kind: 'entry' } | { readonly kind: 'upstream'; readonly service: ServiceName };

/** Entry of the platform's directory of instances. */
export interface DirectoryEntry {
  /** Name of the instance or replica. */
  readonly id: string;
  readonly role: DirectoryRole;
  /** IP address and port, such as `127.0.0.1:4000`; the peer address for the role `entry`. */
  readonly address: string;
  readonly zone: AvailabilityZone;
  readonly state: DirectoryState;
}

/** The platform's directory of live and leaving instances. Its contents may be out of date. */
export interface InstanceDirectory {
  list(): Promise<Result<readonly DirectoryEntry[], PlatformError>>;
}
