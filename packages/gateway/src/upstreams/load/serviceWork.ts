import type { AdmissionRequest } from '@zincring/scheduling';

import { AdmittedShare, ProgramWork } from '@zincring/scheduling';
import { LRUCache } from 'lru-cache';

import type { ProgramTurn } from './programAdmission.js';

/** What is learned of one kind of program. */
interface KindOfProgram {
  readonly work: ProgramWork;
  readonly admitted: AdmittedShare;
  readonly priority: number;
  /** Share of recent starts that are of this kind. */
  shareOfStarts: number;
}

/** Maximum number of kinds that are learned. */
const MAXIMUM_KINDS = 256;
/** Weight of one program start in the shares of kinds. */
const START_WEIGHT = 0.03;

/**
 * What the programs of one service need, and which share of their starts is admitted, as learned from
 * the turns that this instance serves. Programs of one route and priority are of one kind.
 *
 * @example
 * work.recordBegin(turn, true);
 * work.describe(turn).relativeWork; // 1.6: more than the mean of all starts
 */
export class ServiceWork {
  /** Share of all recent starts that were admitted. */
  public readonly admitted = new AdmittedShare();
  private readonly kinds = new LRUCache<string, KindOfProgram>({ max: MAXIMUM_KINDS });

  /** Describes the work of a program that asks to start. */
  public describe(
    turn: ProgramTurn,
  ): Pick<
    AdmissionRequest,
    'canEndInTime' | 'higherPriorityShare' | 'kindAdmittedShare' | 'relativeWork'
  > {
    const { admitted, work } = this.findOrAdd(turn);
    let higher = 0;
    let mean = 0;
    let total = 0;
    for (const each of this.kinds.values()) {
      higher += each.priority < turn.priority ? each.shareOfStarts : 0;
      mean += each.shareOfStarts * each.work.milliseconds;
      total += each.shareOfStarts;
    }
    return {
      canEndInTime: work.canEndInTime(turn.request.facts.programRemainingMilliseconds),
      higherPriorityShare: total === 0 ? 0 : higher / total,
      kindAdmittedShare: admitted.share,
      relativeWork: mean === 0 ? 1 : (work.milliseconds * total) / mean,
    };
  }

  /** Records that a turn goes to the engines. */
  public recordBegin(turn: ProgramTurn, startsProgram: boolean): void {
    const { work } = this.findOrAdd(turn);
    work.recordRequest();
    if (!startsProgram) {
      return;
    }
    work.recordStart(turn.request.facts.programRemainingMilliseconds);
    this.recordStart(turn, true);
  }

  /** Records the duration of a turn that has left the engines. */
  public recordEnd(turn: ProgramTurn, milliseconds: number): void {
    this.findOrAdd(turn).work.recordTurn(milliseconds);
  }

  /** Records that a start was refused. */
  public recordRefusal(turn: ProgramTurn): void {
    this.recordStart(turn, false);
  }

  private recordStart(turn: ProgramTurn, isAdmitted: boolean): void {
    const kind = this.findOrAdd(turn);
    kind.admitted.record(isAdmitted);
    this.admitted.record(isAdmitted);
    for (const each of this.kinds.values()) {
      each.shareOfStarts += START_WEIGHT * ((each === kind ? 1 : 0) - each.shareOfStarts);
    }
  }

  private findOrAdd({ priority, request }: ProgramTurn): KindOfProgram {
    const key = `${String(priority)}/${request.route.name}`;
    const known = this.kinds.get(key);
    if (known !== undefined) {
      return known;
    }
    const kind = {
      admitted: new AdmittedShare(),
      priority,
      shareOfStarts: 0,
      work: new ProgramWork(),
    };
    this.kinds.set(key, kind);
    return kind;
  }
}
