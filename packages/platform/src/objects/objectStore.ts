import type { Result } from '@zincring/core';

import type { PlatformError } from '../platformError.js';

/** How a conditional put ended. */
export type PutOutcome = 'exists' | 'stored';

/** A page of object names, in order. */
export interface ObjectPage {
  readonly names: readonly string[];
  /** Give it as `after` to read on; `undefined` when there is no more. */
  readonly next: string | undefined;
}

/** Which objects to list. */
export interface ListRequest {
  readonly prefix: string;
  /** Only names greater than this one. */
  readonly after?: string;
  readonly limit: number;
}

/** A part of an object. */
export interface ByteRange {
  /** First byte. */
  readonly start: number;
  /** First byte no longer wanted. */
  readonly end: number;
}

/** The platform's object store: conditional puts, ranged gets, ordered lists, with outages. */
export interface ObjectStore {
  /** Stores an object unless one of that name exists. */
  putIfAbsent(name: string, content: Uint8Array): Promise<Result<PutOutcome, PlatformError>>;
  /** Reads an object or a part of it; `undefined` when there is none. */
  get(name: string, range?: ByteRange): Promise<Result<Uint8Array | undefined, PlatformError>>;
  /** Lists names that begin with a prefix. */
  list(request: ListRequest): Promise<Result<ObjectPage, PlatformError>>;
  /** Deletes an object; deleting an absent one succeeds. */
  delete(name: string): Promise<Result<void, PlatformError>>;
}
