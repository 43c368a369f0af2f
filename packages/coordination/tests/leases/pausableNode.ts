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

/** Storage that all nodes of a test share. */
export interface SharedPlatform {
  readonly table: MemoryTable;
  readonly objects: MemoryObjects;
  /** Writes that have not reached the table yet although their sender no longer waits for them. */
  readonly lateWrites: Transaction[];
}

/**
 * Outcome of a write whose response is lost: `lost` takes effect immediately, `late` only when late
 * writes are delivered, `refused` never.
 */
export type ScriptedOutcome = 'late' | 'lost' | 'refused';

/** Creates an empty platform. */
export function createSharedPlatform(): SharedPlatform {
  return { lateWrites: [], objects: new MemoryObjects(), table: new MemoryTable() };
}

/** Applies the late writes to the table. */
export function deliverLateWrites(platform: SharedPlatform): void {
  for (const transaction of platform.lateWrites.splice(0)) {
    platform.table.transact(transaction);
  }
}

/**
 * A simulated process with its own clock. While it is paused, its clock continues to run, but none
 * of its timers fires and no operation on the platform is sent or returns.
 */
export class PausableNode {
  public readonly timers = new ManualTimerService();
  public readonly tableFaults = new FaultSwitch(this.timers);
  public readonly objectFaults = new FaultSwitch(this.timers);
  public readonly table: TableService;
  public readonly objects: ObjectStore;
  public isKilled = false;
  /** Delay of the responses of the platform, in milliseconds. */
  public responseDelayMilliseconds = 0;
  /** Scripted outcome of the next `count` writes of rows whose key has the prefix. */
  public nextWriteOutcome:
    { readonly prefix: string; readonly outcome: ScriptedOutcome; count: number } | undefined;
  /** Pauses or kills the node after it has passed the given number of interruption points. */
  public interruption:
    { remainingInterruptionPoints: number; readonly action: 'kill' | 'pause' } | undefined;
  private paused: { readonly resumed: Promise<void>; readonly resume: () => void } | undefined;

  public constructor(
    protected readonly platform: SharedPlatform,
    /** Speed of the node's clock relative to the time of the test. */
    private readonly clockRate = 1,
  ) {
    const table = new MemoryTableService(platform.table, this.tableFaults);
    const objects = new MemoryObjectStore(platform.objects, this.objectFaults);
    this.table = {
      read: async keys => this.forward(async () => table.read(keys)),
      scan: async request => this.forward(async () => table.scan(request)),
      transact: async transaction =>
        this.forward(
          async () => this.applyScriptedOutcome(transaction) ?? table.transact(transaction),
        ),
    };
    this.objects = {
      delete: async name => this.forward(async () => objects.delete(name)),
      get: async (name, range) => this.forward(async () => objects.get(name, range)),
      list: async request => this.forward(async () => objects.list(request)),
      putIfAbsent: async (name, content) =>
        this.forward(async () => objects.putIfAbsent(name, content)),
    };
  }

  public get isPaused(): boolean {
    return this.paused !== undefined;
  }

  /** Pauses the node, possibly in the middle of an operation. */
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

  /** Resumes the node unless it was killed. */
  public resume(): void {
    if (this.isKilled) {
      return;
    }
    this.paused?.resume();
    this.paused = undefined;
  }

  /** Stops the node permanently, possibly in the middle of an operation. */
  public kill(): void {
    this.pause();
    this.isKilled = true;
  }

  /** Delays the outcome of a promise while the node is paused. */
  public async delayWhilePaused<Value>(promise: Promise<Value>): Promise<Value> {
    const value = await promise;
    await this.waitAtInterruptionPoint();
    return value;
  }

  /** Advances the node's clock by the given time, scaled by its speed. */
  public async advance(milliseconds: number): Promise<void> {
    const elapsed = milliseconds * this.clockRate;
    if (this.isPaused) {
      this.timers.skip(elapsed);
      return;
    }
    await this.timers.advance(elapsed);
  }

  private applyScriptedOutcome(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>> | undefined {
    const { nextWriteOutcome: scripted } = this;
    const isMatching = transaction.writes.some(write =>
      write.key.startsWith(scripted?.prefix ?? '-'),
    );
    if (scripted === undefined || !isMatching) {
      return undefined;
    }
    scripted.count--;
    if (scripted.count <= 0) {
      this.nextWriteOutcome = undefined;
    }
    if (scripted.outcome === 'late') {
      this.platform.lateWrites.push(transaction);
    } else if (scripted.outcome === 'lost') {
      this.platform.table.transact(transaction);
    }
    return Promise.resolve(Err(new PlatformError('outcome-unknown', 'the response was lost')));
  }

  private async forward<Value>(operation: () => Promise<Value>): Promise<Value> {
    await this.waitAtInterruptionPoint();
    const value = await operation();
    if (this.responseDelayMilliseconds > 0) {
      await sleep(this.timers, this.responseDelayMilliseconds);
    }
    await this.waitAtInterruptionPoint();
    return value;
  }

  /** Carries out an interruption that is due, then waits while the node is paused. */
  private async waitAtInterruptionPoint(): Promise<void> {
    if (this.interruption !== undefined && this.interruption.remainingInterruptionPoints-- <= 0) {
      const { action } = this.interruption;
      this.interruption = undefined;
      this[action]();
    }
    await this.paused?.resumed;
  }
}
