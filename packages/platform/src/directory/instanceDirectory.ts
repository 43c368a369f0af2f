import type { AvailabilityZone, Result, ServiceName } from '@zincring/core';

import type { PlatformError } from '../platformError.js';

/** Whether an instance may be given new work. */
export type DirectoryState = 'leaving' | 'live';

/** What runs at the address: an instance of zincring or an upstream replica. */
export type DirectoryRole =
  { readonly kind: 'entry' } | { readonly kind: 'upstream'; readonly service: ServiceName };

/** One line of the platform's list. */
export interface DirectoryEntry {
  /** Name of the instance or replica. */
  readonly id: string;
  readonly role: DirectoryRole;
  /** IP number and port, such as `127.0.0.1:4000`; for an entry, its peer address. */
  readonly address: string;
  readonly zone: AvailabilityZone;
  readonly state: DirectoryState;
}

/** The platform's list of live and leaving instances; it lags. */
export interface InstanceDirectory {
  list(): Promise<Result<readonly DirectoryEntry[], PlatformError>>;
}
