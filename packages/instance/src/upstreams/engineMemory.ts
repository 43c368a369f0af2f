import type {
  Epoch,
  Logger,
  Metrics,
  ProgramId,
  TimerService,
  TimerSubscription,
  UpstreamId,
} from '@zincring/core';

import { failureText } from '@zincring/core';

import type { ProgramEndListener } from '../programs/programEndListener.js';
import type { EngineOrders } from './engineOrders.js';
import type { ReplicaTable } from './replicaTable.js';

/** What releasing engine memory needs. */
export interface EngineMemoryOptions {
  readonly orders: EngineOrders;
  readonly replicas: ReplicaTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Time between attempts at orders that were not confirmed, in milliseconds. */
  readonly retryMilliseconds: number;
  /** Most orders that wait; the sweep finds again what is dropped above it. */
  readonly maximumPending: number;
}

/** An order that has not been confirmed. */
interface PendingRelease {
  readonly program: ProgramId;
  readonly engine: UpstreamId;
  fence: Epoch;
}

/**
 * Releases what engines hold for programs that are gone. An order is repeated until the engine
 * confirms it, refuses it for a newer fencing number, or has left the platform's list.
 */
export class EngineMemory implements ProgramEndListener {
  private readonly enginesOf = new Map<ProgramId, Set<UpstreamId>>();
  private readonly pending = new Map<string, PendingRelease>();
  private subscription: TimerSubscription | undefined;
  private isSending = false;

  public constructor(private readonly options: EngineMemoryOptions) {}

  /** Orders that wait for their confirmation. */
  public get pendingOrders(): number {
    return this.pending.size;
  }

  /** Begins to repeat orders. */
  public start(): void {
    this.subscription = this.options.timers.every(this.options.retryMilliseconds, () => {
      void this.sendPending();
    });
  }

  /** Stops repeating orders; the sweep of another instance finds what is left. */
  public stop(): void {
    this.subscription?.stop();
  }

  /** Notes that an engine has worked for a program. */
  public noteUse(program: ProgramId, engine: UpstreamId): void {
    const engines = this.enginesOf.get(program) ?? new Set();
    engines.add(engine);
    this.enginesOf.set(program, engines);
  }

  /** Forgets where a program ran, when its shard goes to another holder. */
  public forget(program: ProgramId): void {
    this.enginesOf.delete(program);
  }

  public onProgramEnd(program: ProgramId, epoch: Epoch): void {
    this.releaseProgram(program, epoch).catch((failure: unknown) => {
      this.options.logger.warn({ failure: failureText(failure), program }, 'release failed');
    });
  }

  /** Orders every engine that has worked for a program to drop what it holds. */
  public async releaseProgram(program: ProgramId, fence: Epoch): Promise<void> {
    for (const engine of this.enginesOf.get(program) ?? []) {
      this.enqueue({ engine, fence, program });
    }
    this.enginesOf.delete(program);
    await this.sendPending();
  }

  /** Orders one engine to drop what it holds for a program that is gone. */
  public enqueue(release: PendingRelease): void {
    const key = `${release.engine}/${release.program}`;
    const known = this.pending.get(key);
    if (known !== undefined) {
      known.fence = Math.max(known.fence, release.fence) as Epoch;
      return;
    }
    if (this.pending.size >= this.options.maximumPending) {
      this.options.metrics.increment('engine_memory.dropped');
      return;
    }
    this.pending.set(key, { ...release });
  }

  /** Sends every order that is not confirmed, once. */
  public async sendPending(): Promise<void> {
    if (this.isSending) {
      return;
    }
    this.isSending = true;
    try {
      await Promise.all([...this.pending].map(async ([key, release]) => this.send(key, release)));
    } finally {
      this.isSending = false;
    }
  }

  private async send(key: string, release: PendingRelease): Promise<void> {
    const replica = this.options.replicas.find(release.engine);
    if (replica === undefined) {
      this.pending.delete(key);
      return;
    }
    const { fence, program } = release;
    const outcome = await this.options.orders.release(replica, { fence, program });
    if (outcome.err) {
      this.options.logger.debug({ engine: replica.id, program }, 'release not confirmed');
      return;
    }
    if (release.fence === fence || outcome.val === 'fenced') {
      this.pending.delete(key);
    }
    this.options.metrics.increment('engine_memory.released');
  }
}
