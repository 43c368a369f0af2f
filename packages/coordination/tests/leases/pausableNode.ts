import type { Result } from '@zincring/core';
import type {
  ObjectStore,
  TableService,
  Transaction,
  TransactionOutcome,
} from '@zincring/platform';

import { Err, ManualTimerService, sleep } from '@zincring/core';
import { PlatformError } from '@zincring/platform';
import {
  FaultSwitch,
  MemoryObjects,
  MemoryObjectStore,
  MemoryTable,
  MemoryTableService,
} from '@zincring/stand-ins';

/** The platform that all nodes of a test share. */
export interface SharedPlatform {
  readonly table: MemoryTable;
  readonly objects: MemoryObjects;
  /** Writes that are still on their way to the table although their sender has given them up. */
  readonly late: Transaction[];
}

/** What becomes of a write without an answer: it takes effect at once, only later, or never. */
export type WriteFate = 'late' | 'lost' | 'refused';

/** Makes an empty platform. */
export function createSharedPlatform(): SharedPlatform {
  return { late: [], objects: new MemoryObjects(), table: new MemoryTable() };
}

/** Lets late writes arrive. */
export function deliverLateWrites(platform: SharedPlatform): void {
  for (const transaction of platform.late.splice(0)) {
    platform.table.transact(transaction);
  }
}

/**
 * A process of a test with a clock of its own. While it is paused, its clock runs on, but none of
 * its timers fires and no operation on the platform leaves it or comes back.
 */
export class PausableNode {
  public readonly timers = new ManualTimerService();
  public readonly tableFaults = new FaultSwitch(this.timers);
  public readonly objectFaults = new FaultSwitch(this.timers);
  public readonly table: TableService;
  public readonly objects: ObjectStore;
  public isDead = false;
  /** How long answers of the platform take to come back. */
  public answerMilliseconds = 0;
  /** The fate of the next writes of rows whose key has the prefix. */
  public nextFate: { readonly prefix: string; readonly fate: WriteFate; count: number } | undefined;
  /** Pauses or kills the node at one of the next moments at which it waits. */
  public interruption: { moments: number; readonly action: 'kill' | 'pause' } | undefined;
  private paused: { readonly resumed: Promise<void>; readonly resume: () => void } | undefined;

  public constructor(
    protected readonly platform: SharedPlatform,
    /** How fast the clock runs. */
    private readonly clockRate = 1,
  ) {
    const table = new MemoryTableService(platform.table, this.tableFaults);
    const objects = new MemoryObjectStore(platform.objects, this.objectFaults);
    this.table = {
      read: async keys => this.pass(async () => table.read(keys)),
      scan: async request => this.pass(async () => table.scan(request)),
      transact: async transaction =>
        this.pass(async () => this.takeFate(transaction) ?? table.transact(transaction)),
    };
    this.objects = {
      delete: async name => this.pass(async () => objects.delete(name)),
      get: async (name, range) => this.pass(async () => objects.get(name, range)),
      list: async request => this.pass(async () => objects.list(request)),
      putIfAbsent: async (name, content) =>
        this.pass(async () => objects.putIfAbsent(name, content)),
    };
  }

  public get isPaused(): boolean {
    return this.paused !== undefined;
  }

  /** Stops the node; it may be in the middle of anything. */
  public pause(): void {
    if (this.paused !== undefined) {
      return;
    }
    let resume: () => void = () => undefined;
    const resumed = new Promise<void>(resolve => {
      resume = resolve;
    });
    this.paused = { resume, resumed };
  }

  /** Lets the node go on. */
  public resume(): void {
    if (this.isDead) {
      return;
    }
    this.paused?.resume();
    this.paused = undefined;
  }

  /** Ends the node for ever, in the middle of anything. */
  public kill(): void {
    this.pause();
    this.isDead = true;
  }

  /** Holds the outcome of a promise back while the node is paused. */
  public async gate<Value>(promise: Promise<Value>): Promise<Value> {
    const value = await promise;
    await this.wait();
    return value;
  }

  /** Lets time pass. */
  public async advance(milliseconds: number): Promise<void> {
    const passed = milliseconds * this.clockRate;
    if (this.isPaused) {
      this.timers.skip(passed);
      return;
    }
    await this.timers.advance(passed);
  }

  private takeFate(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>> | undefined {
    const { nextFate } = this;
    const isMeant = transaction.writes.some(write => write.key.startsWith(nextFate?.prefix ?? '-'));
    if (nextFate === undefined || !isMeant) {
      return undefined;
    }
    nextFate.count--;
    if (nextFate.count <= 0) {
      this.nextFate = undefined;
    }
    if (nextFate.fate === 'late') {
      this.platform.late.push(transaction);
    } else if (nextFate.fate === 'lost') {
      this.platform.table.transact(transaction);
    }
    return Promise.resolve(Err(new PlatformError('outcome-unknown', 'the answer was lost')));
  }

  private async pass<Value>(operation: () => Promise<Value>): Promise<Value> {
    await this.wait();
    const value = await operation();
    if (this.answerMilliseconds > 0) {
      await sleep(this.timers, this.answerMilliseconds);
    }
    await this.wait();
    return value;
  }

  /** A moment at which the node may be interrupted. */
  private async wait(): Promise<void> {
    if (this.interruption !== undefined && this.interruption.moments-- <= 0) {
      const { action } = this.interruption;
      this.interruption = undefined;
      this[action]();
    }
    await this.paused?.resumed;
  }
}
