import type { Result } from '@zincring/core';
import type { Update, UpdateRequest } from '@zincring/coordination';

/** Reason why a source could not be read. */
export interface SourceFailure {
  readonly message: string;
}

/** Source of newer versions of the configuration: the store or a peer. */
export interface ConfigurationSource {
  /** Reads the update that brings a reader up to date; it has no changes when nothing is newer. */
  read(request: UpdateRequest): Promise<Result<Update, SourceFailure>>;
}
