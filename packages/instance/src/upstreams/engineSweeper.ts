import type { Epoch, Logger, ProgramId, TimerService, TimerSubscription } from '@zincring/core';

import { failureText } from '@zincring/core';

import type { EngineMemoryReleaser } from './engineMemoryReleaser.js';
import type { EngineControlClient } from './engineControlClient.js';
import type { Replica, ReplicaTable } from './replicaTable.js';

/** Program that has ended or does not exist, as confirmed by the holder of its shard. */
export interface GoneProgram {
  readonly program: ProgramId;
  /** Epoch of the holder's lease of the shard; serves as fencing token. */
  readonly fence: Epoch;
}

/** Finds out from the homes of programs which of them no longer exist. */
export interface GoneProgramFinder {
  /** Returns those of the programs that have ended or that their home does not know. */
  findGone(programs: readonly ProgramId[]): Promise<readonly GoneProgram[]>;
}

/** Dependencies and settings of an {@link EngineSweeper}. */
export interface EngineSweeperOptions {
  readonly engineControl: EngineControlClient;
  readonly replicas: ReplicaTable;
  readonly memoryReleaser: EngineMemoryReleaser;
  readonly goneProgramFinder: GoneProgramFinder;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly intervalMilliseconds: number;
  /** Whether this instance sweeps the engine; one instance does at a time. */
  readonly isResponsible: (replica: Replica) => boolean;
  /** Whether the replica belongs to an engine service. */
  readonly isEngine: (replica: Replica) => boolean;
}

/**
 * Releases the memory that engines hold for programs that no longer exist, including those whose
 * home crashed before it sent the release.
 */
export class EngineSweeper {
  private subscription: TimerSubscription | undefined;

  public constructor(private readonly options: EngineSweeperOptions) {}

  /** Starts sweeping periodically. */
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
    const { isEngine, isResponsible, memoryReleaser, replicas } = this.options;
    const engines = [...replicas.listAll()].filter(
      replica => isEngine(replica) && isResponsible(replica),
    );
    await Promise.all(engines.map(async replica => this.sweepEngine(replica)));
    await memoryReleaser.sendPending();
  }

  private async sweepEngine(replica: Replica): Promise<void> {
    const heldPrograms = await this.options.engineControl.listHeldPrograms(replica);
    if (heldPrograms.err || heldPrograms.val.length === 0) {
      return;
    }
    const gonePrograms = await this.options.goneProgramFinder.findGone(heldPrograms.val);
    for (const { fence, program } of gonePrograms) {
      this.options.memoryReleaser.enqueue({ engine: replica.id, fence, program });
    }
  }
}
