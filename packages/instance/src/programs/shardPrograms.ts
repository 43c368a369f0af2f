import type { ProgramId } from '@zincring/core';

import type { ProgramRecord } from './programRecord.js';
import type { ProgramSnapshot } from './programState.js';

import { ProgramState } from './programState.js';

/** The programs of one shard. */
export class ShardPrograms {
  private readonly programs = new Map<ProgramId, ProgramState>();

  /** Number of programs, ended ones included until they are forgotten. */
  public get size(): number {
    return this.programs.size;
  }

  /** Restores the programs of a snapshot. */
  public static decode(content: Uint8Array): ShardPrograms {
    const shard = new ShardPrograms();
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
  public all(): Iterable<ProgramState> {
    return this.programs.values();
  }

  /** Applies a record; a second `opened` of a program changes nothing. */
  public apply(record: ProgramRecord): void {
    if (record.type === 'opened' && !this.programs.has(record.program)) {
      this.programs.set(record.program, new ProgramState(record));
      return;
    }
    this.programs.get(record.program)?.apply(record);
  }

  /** Encodes a snapshot. */
  public encode(): Uint8Array {
    return Buffer.from(
      JSON.stringify([...this.programs.values()].map(program => program.toSnapshot())),
    );
  }
}
