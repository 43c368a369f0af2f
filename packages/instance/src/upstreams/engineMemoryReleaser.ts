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
import type { EngineControlClient } from './engineControlClient.js';
import type { ReplicaTable } from './replicaTable.js';

/** Dependencies and settings of an {@link EngineMemoryReleaser}. */
export interface EngineMemoryReleaserOptions {
  readonly engineControl: EngineControlClient;
  readonly replicas: ReplicaTable;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Interval of retrying releases that were not confirmed, in milliseconds. */
  readonly retryMilliseconds: number;
  /** Maximum number of pending releases; any beyond it are dropped and found by a later sweep. */
  readonly maximumPendingReleases: number;
}

/** Release that the engine has not confirmed. */
interface PendingRelease {
  readonly program: ProgramId;
  readonly engine: UpstreamId;
  fence: Epoch;
}

/**
 * Releases the memory that engines hold for programs that no longer exist. A release is retried
 * until the engine confirms it, rejects its fencing token as outdated, or is removed from the
 * platform's directory.
 */
export class EngineMemoryReleaser implements ProgramEndListener {
  private readonly enginesByProgram = new Map<ProgramId, Set<UpstreamId>>();
  private readonly pendingReleases = new Map<string, PendingRelease>();
  private subscription: TimerSubscription | undefined;
  private isSending = false;

  public constructor(private readonly options: EngineMemoryReleaserOptions) {}

  /** Number of releases that are not confirmed. */
  public get pendingCount(): number {
    return this.pendingReleases.size;
  }

  /** Starts retrying releases. */
  public start(): void {
    this.subscription = this.options.timers.every(this.options.retryMilliseconds, () => {
      void this.sendPending();
    });
  }

  /** Stops retrying releases; the sweep of another instance finds the remaining ones. */
  public stop(): void {
    this.subscription?.stop();
  }

  /** Records that an engine was used by a program. */
  public recordUse(program: ProgramId, engine: UpstreamId): void {
    const engines = this.enginesByProgram.get(program) ?? new Set();
    engines.add(engine);
    this.enginesByProgram.set(program, engines);
  }

  /** Discards the engines recorded for a program, when its shard moves to another instance. */
  public discardEngines(program: ProgramId): void {
    this.enginesByProgram.delete(program);
  }

  public onProgramEnd(program: ProgramId, epoch: Epoch): void {
    this.releaseProgram(program, epoch).catch((failure: unknown) => {
      this.options.logger.warn(
        { failure: failureText(failure), program },
        'releasing engine memory failed',
      );
    });
  }

  /** Releases the memory of a program on every engine that it used. */
  public async releaseProgram(program: ProgramId, fence: Epoch): Promise<void> {
    for (const engine of this.enginesByProgram.get(program) ?? []) {
      this.enqueue({ engine, fence, program });
    }
    this.enginesByProgram.delete(program);
    await this.sendPending();
  }

  /** Enqueues the release of a program's memory on one engine. */
  public enqueue(release: PendingRelease): void {
    const key = `${release.engine}/${release.program}`;
    const existing = this.pendingReleases.get(key);
    if (existing !== undefined) {
      existing.fence = Math.max(existing.fence, release.fence) as Epoch;
      return;
    }
    if (this.pendingReleases.size >= this.options.maximumPendingReleases) {
      this.options.metrics.increment('engine_memory.dropped');
      return;
    }
    this.pendingReleases.set(key, { ...release });
  }

  /** Sends every pending release once. */
  public async sendPending(): Promise<void> {
    if (this.isSending) {
      return;
    }
    this.isSending = true;
    try {
      await Promise.all(
        [...this.pendingReleases].map(async ([key, release]) => this.send(key, release)),
      );
    } finally {
      this.isSending = false;
    }
  }

  private async send(key: string, release: PendingRelease): Promise<void> {
    const replica = this.options.replicas.find(release.engine);
    if (replica === undefined) {
      this.pendingReleases.delete(key);
      return;
    }
    const { fence, program } = release;
    const outcome = await this.options.engineControl.release(replica, { fence, program });
    if (outcome.err) {
      this.options.logger.debug(
        { engine: replica.id, program },
        'engine did not confirm the memory release',
      );
      return;
    }
    if (release.fence === fence || outcome.val === 'fenced') {
      this.pendingReleases.delete(key);
    }
    this.options.metrics.increment('engine_memory.released');
  }
}
