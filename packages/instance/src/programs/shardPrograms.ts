import type { ProgramId, TimerService, WorkspaceName } from '@zincring/core';

import type { ProgramRecord } from './programRecord.js';
import type { ProgramSnapshot } from './programState.js';

import { ProgramState } from './programState.js';

/** Times of a program's events on the monotonic clock of this holder, in milliseconds. */
interface ProgramTimes {
  /** Time at which the program had age 0; negative if that was before the clock's zero. */
  readonly openedAt: number;
  lastUsedAt: number;
  endedAt: number | undefined;
}

/** The programs of one shard. */
export class ShardPrograms {
  private readonly programs = new Map<ProgramId, ProgramState>();
  private readonly timesByProgram = new Map<ProgramId, ProgramTimes>();

  public constructor(private readonly timers: TimerService) {}

  /** Number of programs, including ended ones until they are forgotten. */
  public get size(): number {
    return this.programs.size;
  }

  /** Restores the programs of a snapshot. */
  public static decode(content: Uint8Array, timers: TimerService): ShardPrograms {
    const shard = new ShardPrograms(timers);
    const snapshots = JSON.parse(Buffer.from(content).toString('utf8')) as ProgramSnapshot[];
    for (const snapshot of snapshots) {
      shard.programs.set(snapshot.opened.program, ProgramState.fromSnapshot(snapshot));
    }
    return shard;
  }

  /** Finds a program. */
  public find(program: ProgramId): ProgramState | undefined {
    return this.programs.get(program);
  }

  /** Returns all programs, including ended ones until they are forgotten. */
  public all(): readonly ProgramState[] {
    return [...this.programs.values()];
  }

  /** Counts the programs of a workspace that have not ended. */
  public countOpen(workspace: WorkspaceName): number {
    return this.all().filter(state => state.opened.workspace === workspace && !state.hasEnded)
      .length;
  }

  /** Applies a record; a second `opened` record of a program has no effect. */
  public apply(record: ProgramRecord): void {
    const { program } = record;
    if (record.type === 'forgotten') {
      this.programs.delete(program);
      this.timesByProgram.delete(program);
      return;
    }
    if (record.type === 'opened' && !this.programs.has(program)) {
      this.programs.set(program, new ProgramState(record));
    }
    const state = this.programs.get(program);
    state?.apply(record);
    if (state !== undefined && record.type === 'ended') {
      this.getTimes(state).endedAt ??= this.timers.now();
    }
  }

  /** Adjusts the recovered programs for a new holder; their idle times start again. */
  public startUnderNewHolder(): void {
    this.timesByProgram.clear();
    for (const state of this.programs.values()) {
      state.startUnderNewHolder();
      this.getTimes(state);
    }
  }

  /** Records that a program was used now. */
  public recordUse(state: ProgramState): void {
    this.getTimes(state).lastUsedAt = this.timers.now();
  }

  /**
   * Returns the age of a program. A new holder continues from the age in the last turn or snapshot,
   * so the time between that and the takeover does not count.
   */
  public getAgeMilliseconds(state: ProgramState): number {
    return this.timers.now() - this.getTimes(state).openedAt;
  }

  /** Returns the time since a program was last used. */
  public getIdleMilliseconds(state: ProgramState): number {
    return this.timers.now() - this.getTimes(state).lastUsedAt;
  }

  /** Returns the time since a program ended; 0 if it has not. */
  public getMillisecondsSinceEnd(state: ProgramState): number {
    const { endedAt } = this.getTimes(state);
    return endedAt === undefined ? 0 : this.timers.now() - endedAt;
  }

  /**
   * Encodes a snapshot.
   *
   * @param isHandedOver whether no call is running and this holder will start no more
   */
  public encode(isHandedOver: boolean): Uint8Array {
    const snapshots = this.all().map(state =>
      state.toSnapshot(this.getAgeMilliseconds(state), isHandedOver),
    );
    return Buffer.from(JSON.stringify(snapshots));
  }

  private getTimes(state: ProgramState): ProgramTimes {
    const knownTimes = this.timesByProgram.get(state.program);
    if (knownTimes !== undefined) {
      return knownTimes;
    }
    const now = this.timers.now();
    const times: ProgramTimes = {
      endedAt: state.hasEnded ? now : undefined,
      openedAt: now - state.recordedAgeMilliseconds,
      lastUsedAt: now,
    };
    this.timesByProgram.set(state.program, times);
    return times;
  }
}
