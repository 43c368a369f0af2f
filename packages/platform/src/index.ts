export type { PlatformFailure } from './platformError.js';
export { PlatformError } from './platformError.js';
export type {
  Row,
  RowCheck,
  RowWrite,
  ScanPage,
  ScanRequest,
  TableService,
  Transaction,
  TransactionOutcome,
} from './table/tableService.js';
export type {
  ChangesResponse,
  ChangesRequest,
  PartitionedOutcome,
  PartitionedRow,
  PartitionedRowCheck,
  PartitionedRowWrite,
  PartitionedTable,
  PartitionedTransaction,
  RangePage,
  RangeRequest,
  RowAddress,
  RowChange,
} from './table/partitionedTable.js';
export type { SettleOptions } from './table/transactSettled.js';
export { transactSettled } from './table/transactSettled.js';
export type {
  ByteRange,
  ListRequest,
  ObjectPage,
  ObjectStore,
  PutOutcome,
} from './objects/objectStore.js';
export type { PutSettledOptions } from './objects/putSettled.js';
export { putSettled } from './objects/putSettled.js';
export type {
  DirectoryEntry,
  DirectoryRole,
  DirectoryState,
  InstanceDirectory,
} from './directory/instanceDirectory.js';
export type { AdaptiveTimeoutOptions } from './http/adaptiveTimeout.js';
export { AdaptiveTimeout } from './http/adaptiveTimeout.js';
export type {
  HttpClientRequest,
  HttpClientResponse,
  PlatformEndpointOptions,
} from './http/httpClient.js';
export { HttpClient } from './http/httpClient.js';
export type { Platform } from './platform.js';
export { connectPlatform } from './platform.js';
