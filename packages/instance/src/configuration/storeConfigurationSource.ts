import type { Result } from '@zincring/core';
import type { Update, UpdateRequest, VersionedChanges } from '@zincring/coordination';

import type { ConfigurationSource, SourceFailure } from './configurationSource.js';

/** Reads the configuration from the platform's store. */
export class StoreConfigurationSource implements ConfigurationSource {
  public constructor(private readonly changes: VersionedChanges) {}

  public async read(request: UpdateRequest): Promise<Result<Update, SourceFailure>> {
    return await this.changes.readUpdate(request);
  }
}
