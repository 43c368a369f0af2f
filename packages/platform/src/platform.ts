import type { PlatformEndpointOptions } from './http/httpExchange.js';
import type { InstanceDirectory } from './directory/instanceDirectory.js';
import type { ObjectStore } from './objects/objectStore.js';
import type { TableService } from './table/tableService.js';

import { HttpInstanceDirectory } from './directory/httpInstanceDirectory.js';
import { HttpExchange } from './http/httpExchange.js';
import { HttpObjectStore } from './objects/httpObjectStore.js';
import { HttpTableService } from './table/httpTableService.js';

/** Everything that the platform gives. */
export interface Platform {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly directory: InstanceDirectory;
  /** Closes idle connections. */
  close(): void;
}

/**
 * Connects to a platform over plain HTTP.
 *
 * @example
 * const platform = connectPlatform({ address: '127.0.0.1:4100', timeoutMilliseconds: 2_000 });
 */
export function connectPlatform(options: PlatformEndpointOptions): Platform {
  const exchange = new HttpExchange(options);
  return {
    table: new HttpTableService(exchange),
    objects: new HttpObjectStore(exchange),
    directory: new HttpInstanceDirectory(exchange),
    close: () => {
      exchange.close();
    },
  };
}
