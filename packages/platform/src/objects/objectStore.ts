import type { Result } from '@zincring/core';

import type { PlatformError } from '../platformError.js';

/** Outcome of a conditional put. */
export type PutOutcome = 'exists' | 'stored';

/** Page of object names in ascending order. */
export interface ObjectPage {
  readonly names: readonly string[];
  /** Value of `after` for the next page; `undefined` on the last page. */
  readonly next: string | undefined;
}

/** Request for a page of object names. */
export interface ListRequest {
  readonly prefix: string;
  /** Only names greater than this one. */
  readonly after?: string;
  readonly limit: number;
}

/** Range of bytes of an object. */
export interface ByteRange {
  /** Offset of the first byte. */
  readonly start: number;
  /** Offset after the last byte. */
  readonly end: number;
}

/** Object store of the platform: conditional puts, range reads and ordered lists. Outages occur. */
export interface ObjectStore {
  /** Stores an object unless one with this name exists. */
  putIfAbsent(name: string, content: Uint8Array): Promise<Result<PutOutcome, PlatformError>>;
  /** Reads an object or a range of it; `undefined` if the object does not exist. */
  get(name: string, range?: ByteRange): Promise<Result<Uint8Array | undefined, PlatformError>>;
  /** Lists names that begin with a prefix. */
  list(request: ListRequest): Promise<Result<ObjectPage, PlatformError>>;
  /** Deletes an object; deleting an absent one succeeds. */
  delete(name: string): Promise<Result<void, PlatformError>>;
}
