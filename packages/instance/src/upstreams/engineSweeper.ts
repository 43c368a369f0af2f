import type { Epoch, Logger, ProgramId, TimerService, TimerSubscription } from '@zincring/core';

import { failureText } from '@zincring/core';

import type { EngineMemory } from './engineMemory.js';
import type { EngineOrders } from './engineOrders.js';
import type { Replica, ReplicaTable } from './replicaTable.js';

/** A program that is certainly gone, as the holder of its shard says. */
export interface GoneProgram {
  readonly program: ProgramId;
  /** Epoch under which the holder says so. */
  readonly fence: Epoch;
}

/** Asks the homes of programs which of them are gone. */
export interface ProgramCensus {
  /** Those of the programs that have ended or that their home does not know. */
  findGone(programs: readonly ProgramId[]): Promise<readonly GoneProgram[]>;
}

/** What the sweep needs. */
export interface EngineSweeperOptions {
  readonly orders: EngineOrders;
  readonly replicas: ReplicaTable;
  readonly memory: EngineMemory;
  readonly census: ProgramCensus;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly intervalMilliseconds: number;
  /** Whether this instance sweeps an engine; one instance does at a time. */
  readonly isResponsible: (replica: Replica) => boolean;
  /** Whether replicas of the service are engines. */
  readonly isEngine: (replica: Replica) => boolean;
}

/**
 * Compares what engines hold with the programs alive. It finds what release orders cannot: the
 * programs whose home died before it gave the order.
 */
export class EngineSweeper {
  private subscription: TimerSubscription | undefined;

  public constructor(private readonly options: EngineSweeperOptions) {}

  /** Begins to sweep. */
  public start(): void {
    this.subscription = this.options.timers.every(this.options.intervalMilliseconds, () => {
      this.sweep().catch((failure: unknown) => {
        this.options.logger.warn({ failure: failureText(failure) }, 'engine sweep failed');
      });
    });
  }

  /** Stops sweeping. */
  public stop(): void {
    this.subscription?.stop();
  }

  /** Sweeps every engine that this instance is responsible for. */
  public async sweep(): Promise<void> {
    const { isEngine, isResponsible, memory, replicas } = this.options;
    const engines = [...replicas.all()].filter(
      replica => isEngine(replica) && isResponsible(replica),
    );
    await Promise.all(engines.map(async replica => this.sweepEngine(replica)));
    await memory.sendPending();
  }

  private async sweepEngine(replica: Replica): Promise<void> {
    const held = await this.options.orders.listHeld(replica);
    if (held.err || held.val.length === 0) {
      return;
    }
    const gone = await this.options.census.findGone(held.val);
    for (const { fence, program } of gone) {
      this.options.memory.enqueue({ engine: replica.id, fence, program });
    }
  }
}
