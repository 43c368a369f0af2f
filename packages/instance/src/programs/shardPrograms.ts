import type { ProgramId, TimerService, WorkspaceName } from '@zincring/core';

import type { ProgramRecord } from './programRecord.js';
import type { ProgramSnapshot } from './programState.js';

import { ProgramState } from './programState.js';

/** When things happened to a program, on the monotonic clock of this holder. */
interface ProgramTimes {
  /** Moment at which the program had age zero; it may lie before the clock's zero. */
  readonly openedAt: number;
  usedAt: number;
  endedAt: number | undefined;
}

/** The programs of one shard. */
export class ShardPrograms {
  private readonly programs = new Map<ProgramId, ProgramState>();
  private readonly times = new Map<ProgramId, ProgramTimes>();

  public constructor(private readonly timers: TimerService) {}

  /** Number of programs, ended ones included until they are forgotten. */
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

  /** Every program. */
  public all(): readonly ProgramState[] {
    return [...this.programs.values()];
  }

  /** Number of programs of a workspace that have not ended. */
  public countOpen(workspace: WorkspaceName): number {
    return this.all().filter(state => state.opened.workspace === workspace && !state.hasEnded)
      .length;
  }

  /** Applies a record; a second `opened` of a program changes nothing. */
  public apply(record: ProgramRecord): void {
    const { program } = record;
    if (record.type === 'forgotten') {
      this.programs.delete(program);
      this.times.delete(program);
      return;
    }
    if (record.type === 'opened' && !this.programs.has(program)) {
      this.programs.set(program, new ProgramState(record));
    }
    const state = this.programs.get(program);
    state?.apply(record);
    if (state !== undefined && record.type === 'ended') {
      this.timesOf(state).endedAt ??= this.timers.now();
    }
  }

  /** Begins a new holder's work on what was recovered. */
  public startUnderNewHolder(): void {
    this.times.clear();
    for (const state of this.programs.values()) {
      state.startUnderNewHolder();
      this.timesOf(state);
    }
  }

  /** Notes that a program was used. */
  public touch(state: ProgramState): void {
    this.timesOf(state).usedAt = this.timers.now();
  }

  /** Age of a program, as far as its holders have counted it. */
  public ageOf(state: ProgramState): number {
    return this.timers.now() - this.timesOf(state).openedAt;
  }

  /** Time since a program was used. */
  public idleTimeOf(state: ProgramState): number {
    return this.timers.now() - this.timesOf(state).usedAt;
  }

  /** Time since a program ended. */
  public endedTimeOf(state: ProgramState): number {
    const { endedAt } = this.timesOf(state);
    return endedAt === undefined ? 0 : this.timers.now() - endedAt;
  }

  /**
   * Encodes a snapshot.
   *
   * @param isHandedOver whether nothing runs and this holder will do no more
   */
  public encode(isHandedOver: boolean): Uint8Array {
    const snapshots = this.all().map(state => state.toSnapshot(this.ageOf(state), isHandedOver));
    return Buffer.from(JSON.stringify(snapshots));
  }

  private timesOf(state: ProgramState): ProgramTimes {
    const known = this.times.get(state.program);
    if (known !== undefined) {
      return known;
    }
    const now = this.timers.now();
    const times: ProgramTimes = {
      endedAt: state.hasEnded ? now : undefined,
      openedAt: now - state.recordedAgeMilliseconds,
      usedAt: now,
    };
    this.times.set(state.program, times);
    return times;
  }
}
