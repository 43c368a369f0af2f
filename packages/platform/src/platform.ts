import type { PlatformEndpointOptions } from './http/httpClient.js';
import type { InstanceDirectory } from './directory/instanceDirectory.js';
import type { ObjectStore } from './objects/objectStore.js';
import type { TableService } from './table/tableService.js';

import { HttpInstanceDirectory } from './directory/httpInstanceDirectory.js';
import { HttpClient } from './http/httpClient.js';
import { HttpObjectStore } from './objects/httpObjectStore.js';
import { HttpTableService } from './table/httpTableService.js';

/** Services of the platform. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly directory: InstanceDirectory;
  /** Closes all connections to the platform. */
  close(): void;
}

/**
 * Connects to a platform over plain HTTP.
 *
 * @example
 * const platform = connectPlatform({ address: '127.0.0.1:4100', timeoutMilliseconds: 2_000 });
 */
export function connectPlatform(options: PlatformEndpointOptions): Platform {
  const httpClient = new HttpClient(options);
  return {
    table: new HttpTableService(httpClient),
    objects: new HttpObjectStore(httpClient),
    directory: new HttpInstanceDirectory(httpClient),
    close: () => {
      httpClient.close();
    },
  };
}
