import type { Result } from '@zincring/core';
import type {
  ByteRange,
  DirectoryEntry,
  InstanceDirectory,
  ListRequest,
  ObjectPage,
  ObjectStore,
  PutOutcome,
  Row,
  ScanPage,
  ScanRequest,
  TableService,
  Transaction,
  TransactionOutcome,
} from '@zincring/platform';

import { Err, Ok } from '@zincring/core';
import { PlatformError } from '@zincring/platform';

import type { FaultSwitch } from './faultSwitch.js';
import type { MemoryObjects } from './memoryObjects.js';
import type { MemoryTable } from './memoryTable.js';

/** Runs an in-memory operation with the outcome that the fault switch decides. */
async function withFaults<Value>(
  faults: FaultSwitch,
  isWrite: boolean,
  operation: () => Value,
): Promise<Result<Value, PlatformError>> {
  switch (await faults.decideOutcome(isWrite)) {
    case 'answered':
      return Ok(operation());
    case 'answer-lost':
      operation();
      return Err(new PlatformError('outcome-unknown', 'the response was lost'));
    case 'hung':
      return await new Promise(() => undefined);
    case 'refused':
      return Err(new PlatformError('unavailable', 'the stand-in is switched off'));
  }
}

/**
 * A table service for focused tests. Several services, each with its own fault switch, may share
 * one table.
 */
export class MemoryTableService implements TableService {
  public constructor(
    private readonly table: MemoryTable,
    private readonly faults: FaultSwitch,
  ) {}

  public async read(keys: readonly string[]): Promise<Result<readonly Row[], PlatformError>> {
    return await withFaults(this.faults, false, () => this.table.read(keys));
  }

  public async scan(request: ScanRequest): Promise<Result<ScanPage, PlatformError>> {
    return await withFaults(this.faults, false, () => this.table.scan(request));
  }

  public async transact(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>> {
    return await withFaults(this.faults, true, () => this.table.transact(transaction));
  }
}

/** An object store for focused tests. */
export class MemoryObjectStore implements ObjectStore {
  public constructor(
    private readonly objects: MemoryObjects,
    private readonly faults: FaultSwitch,
  ) {}

  public async putIfAbsent(
    name: string,
    content: Uint8Array,
  ): Promise<Result<PutOutcome, PlatformError>> {
    return await withFaults(this.faults, true, () => this.objects.putIfAbsent(name, content));
  }

  public async get(
    name: string,
    range?: ByteRange,
  ): Promise<Result<Uint8Array | undefined, PlatformError>> {
    return await withFaults(this.faults, false, () => this.objects.get(name, range));
  }

  public async list(request: ListRequest): Promise<Result<ObjectPage, PlatformError>> {
    return await withFaults(this.faults, false, () => this.objects.list(request));
  }

  public async delete(name: string): Promise<Result<void, PlatformError>> {
    return await withFaults(this.faults, true, () => {
      this.objects.delete(name);
    });
  }
}

/**
 * A list of instances for focused tests. Tests set its entries directly, so they control its lag.
 */
export class MemoryInstanceDirectory implements InstanceDirectory {
  public entries: readonly DirectoryEntry[] = [];

  public constructor(private readonly faults: FaultSwitch) {}

  public async list(): Promise<Result<readonly DirectoryEntry[], PlatformError>> {
    return await withFaults(this.faults, false, () => this.entries);
  }
}
