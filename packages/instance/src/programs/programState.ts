import type { CallId, HistoryDigest, ResumePoint } from '@zincring/core';

import { emptyHistoryDigest, extendHistoryDigest } from '@zincring/core';

import type { ProgramSummary } from './programMessages.js';
import type { OpenedRecord, ProgramRecord, TurnRecord } from './programRecord.js';

/** The durable part of a program, as snapshots keep it. */
export interface ProgramSnapshot {
  readonly opened: OpenedRecord;
  readonly turns: readonly TurnRecord[];
  readonly intents: readonly CallId[];
  readonly hasEnded: boolean;
}

/** What is known of a call id. */
export type KnownCall =
  | { readonly status: 'done'; readonly turn: TurnRecord }
  | { readonly status: 'intended' }
  | { readonly status: 'unknown' };

/**
 * The state of one program, made by its records alone: replaying the same records gives the
 * same state.
 */
export class ProgramState {
  private readonly turns: TurnRecord[] = [];
  private readonly turnsByCall = new Map<CallId, TurnRecord>();
  private readonly intents = new Set<CallId>();
  private tokensUsed = 0;
  private headDigest: HistoryDigest;
  private ended = false;
  /** Number of the last turn known to be stored. */
  public durableTurn = 0;

  public constructor(public readonly opened: OpenedRecord) {
    this.headDigest = emptyHistoryDigest(opened.program);
  }

  /** Restores a program from a snapshot. */
  public static fromSnapshot(snapshot: ProgramSnapshot): ProgramState {
    const state = new ProgramState(snapshot.opened);
    for (const turn of snapshot.turns) {
      state.apply(turn);
    }
    for (const call of snapshot.intents) {
      state.intents.add(call);
    }
    state.ended = snapshot.hasEnded;
    state.durableTurn = state.turn;
    return state;
  }

  /** Number of the last turn. */
  public get turn(): number {
    return this.turns.length;
  }

  /** Digest of the whole history. */
  public get digest(): HistoryDigest {
    return this.headDigest;
  }

  /** Whether the program takes no more calls. */
  public get hasEnded(): boolean {
    return this.ended;
  }

  /** Tokens that the budget still allows. */
  public get tokensLeft(): number {
    return Math.max(0, this.opened.tokens - this.tokensUsed);
  }

  /** Calls that the budget still allows. */
  public get callsLeft(): number {
    return Math.max(0, this.opened.calls - this.turns.length - this.intents.size);
  }

  /** Where a caller can go on. */
  public get resumePoint(): ResumePoint {
    return { digest: this.headDigest, durableTurn: this.durableTurn, turn: this.turn };
  }

  /** The history as segments of a prompt, oldest first. */
  public get segments(): readonly string[] {
    return this.turns.flatMap(turn => [turn.request, turn.answer]);
  }

  /** What a caller may know. */
  public get summary(): ProgramSummary {
    return {
      callsLeft: this.callsLeft,
      digest: this.headDigest,
      durableTurn: this.durableTurn,
      hasEnded: this.ended,
      policy: this.opened.policy,
      program: this.opened.program,
      tokensLeft: this.tokensLeft,
      turn: this.turn,
    };
  }

  /** What is known of a call id. */
  public findCall(call: CallId): KnownCall {
    const turn = this.turnsByCall.get(call);
    if (turn !== undefined) {
      return { status: 'done', turn };
    }
    return { status: this.intents.has(call) ? 'intended' : 'unknown' };
  }

  /** Digest that the history would have after one more turn. */
  public nextDigest(request: string, answer: string): HistoryDigest {
    return extendHistoryDigest(this.headDigest, `${request}\n${answer}`);
  }

  /** Applies a record of this program. */
  public apply(record: ProgramRecord): void {
    switch (record.type) {
      case 'opened':
        return;
      case 'intent':
        this.intents.add(record.call);
        return;
      case 'abandoned':
        this.intents.delete(record.call);
        return;
      case 'turn':
        this.applyTurn(record);
        return;
      case 'ended':
        this.ended = true;
        return;
    }
  }

  /** The form that snapshots keep. */
  public toSnapshot(): ProgramSnapshot {
    return {
      hasEnded: this.ended,
      intents: [...this.intents],
      opened: this.opened,
      turns: this.turns,
    };
  }

  private applyTurn(record: TurnRecord): void {
    const isNext = record.turn === this.turn + 1;
    if (!isNext || record.digest !== this.nextDigest(record.request, record.answer)) {
      throw new Error(`turn ${record.turn} does not extend the history of the program`);
    }
    this.turns.push(record);
    this.turnsByCall.set(record.call, record);
    this.intents.delete(record.call);
    this.tokensUsed += record.usage.promptTokens + record.usage.outputTokens;
    this.headDigest = record.digest;
  }
}
