import type { Result } from '@zincring/core';
import type { Update, UpdateRequest } from '@zincring/coordination';

/** Why a source gave nothing. */
export interface SourceFailure {
  readonly message: string;
}

/** Where newer versions of the configuration come from: the store, or a peer. */
export interface ConfigurationSource {
  /** Reads what brings a reader up to date; an update without changes when nothing is newer. */
  read(request: UpdateRequest): Promise<Result<Update, SourceFailure>>;
}
