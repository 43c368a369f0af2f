import type { CallId, ProgramId } from '@zincring/core';

import { callCost } from '@zincring/scheduling';

import type { ProgramSummary } from './programMessages.js';
import type { OpenedRecord, ProgramRecord, TurnRecord } from './programRecord.js';
import type { TokenBudgetSnapshot } from './tokenBudget.js';

import { estimateTokens } from '../upstreams/workDigest.js';
import { BranchState } from './branchState.js';
import { TokenBudget } from './tokenBudget.js';

/** The durable part of a program, as snapshots keep it. */
export interface ProgramSnapshot {
  readonly opened: OpenedRecord;
  /** Turns of all branches, each branch in order. */
  readonly turns: readonly TurnRecord[];
  readonly intents: readonly (readonly [CallId, string])[];
  readonly hasEnded: boolean;
  readonly budget: TokenBudgetSnapshot;
  readonly ageMilliseconds: number;
}

/** What is known of a call id. */
export type KnownCall =
  | { readonly status: 'done'; readonly turn: TurnRecord }
  | { readonly status: 'intended'; readonly requestDigest: string }
  | { readonly status: 'unknown' };

/**
 * The state of one program, made by its records alone: replaying the same records gives the
 * same state.
 */
export class ProgramState {
  private readonly branches = new Map<CallId | null, BranchState>();
  private readonly turnsByCall = new Map<CallId, TurnRecord>();
  private readonly intents = new Map<CallId, string>();
  private readonly startedCalls = new Set<CallId>();
  private ended = false;
  private attained = 0;
  private openingIsDurable = false;
  /** Tokens that the program may spend. */
  public readonly budget: TokenBudget;
  /** Age that the last record tells. */
  public recordedAgeMilliseconds = 0;

  public constructor(public readonly opened: OpenedRecord) {
    this.budget = new TokenBudget(opened.tokens);
    this.budget.grant(opened.allowance);
  }

  /** Restores a program from a snapshot. */
  public static fromSnapshot(snapshot: ProgramSnapshot): ProgramState {
    const state = new ProgramState(snapshot.opened);
    for (const turn of snapshot.turns) {
      state.apply(turn);
    }
    for (const [call, requestDigest] of snapshot.intents) {
      state.intents.set(call, requestDigest);
    }
    state.budget.restore(snapshot.budget);
    state.ended = snapshot.hasEnded;
    state.recordedAgeMilliseconds = snapshot.ageMilliseconds;
    return state;
  }

  /** Identifier of the program. */
  public get program(): ProgramId {
    return this.opened.program;
  }

  /** Whether the program takes no more calls. */
  public get hasEnded(): boolean {
    return this.ended;
  }

  /** Whether the program is known to survive the loss of every instance. */
  public get isOpeningDurable(): boolean {
    return this.openingIsDurable;
  }

  /** Calls that the budget still allows. */
  public get callsLeft(): number {
    const unfinished = new Set([...this.intents.keys(), ...this.startedCalls]);
    return Math.max(0, this.opened.calls - this.turnsByCall.size - unfinished.size);
  }

  /** What a caller may know. */
  public get summary(): ProgramSummary {
    const root = this.branch(null);
    return {
      callsLeft: this.callsLeft,
      digest: root.digest,
      durableTurn: root.durableTurn,
      hasEnded: this.ended,
      policy: this.opened.policy,
      program: this.opened.program,
      tokensLeft: this.budget.left,
      turn: root.turn,
    };
  }

  /** The branch of the calls that sub-agents make for a call; of the program itself for `null`. */
  public branch(parentCall: CallId | null): BranchState {
    return this.branches.get(parentCall) ?? new BranchState(this.program, parentCall);
  }

  /** Service that the program has had, in the unit of the fair queue. */
  public get attainedTokens(): number {
    return this.attained;
  }

  /** What is known of a call id. */
  public findCall(call: CallId): KnownCall {
    const turn = this.turnsByCall.get(call);
    if (turn !== undefined) {
      return { status: 'done', turn };
    }
    const requestDigest = this.intents.get(call);
    return requestDigest === undefined
      ? { status: 'unknown' }
      : { requestDigest, status: 'intended' };
  }

  /** Counts a call that starts to run against the budget of calls. */
  public startCall(call: CallId): void {
    this.startedCalls.add(call);
  }

  /** Ends what {@link ProgramState.startCall} began. */
  public finishCall(call: CallId): void {
    this.startedCalls.delete(call);
    this.budget.release(call);
  }

  /** Applies a record of this program. */
  public apply(record: ProgramRecord): void {
    switch (record.type) {
      case 'opened':
      case 'forgotten':
        return;
      case 'intent':
        this.intents.set(record.call, record.requestDigest);
        return;
      case 'abandoned':
        this.intents.delete(record.call);
        return;
      case 'turn':
        this.applyTurn(record);
        return;
      case 'reserved':
        this.budget.grant(record.allowance);
        return;
      case 'spent':
        this.budget.spendUpTo(record.usedTokens);
        return;
      case 'ended':
        this.ended = true;
        return;
    }
  }

  /** Notes that a record is durable and that this holder may say so. */
  public noteDurable(record: ProgramRecord): void {
    switch (record.type) {
      case 'opened':
        this.openingIsDurable = true;
        this.budget.confirm(record.allowance);
        return;
      case 'reserved':
        this.budget.confirm(record.allowance);
        return;
      case 'turn': {
        const branch = this.branch(record.parentCall);
        branch.durableTurn = Math.max(branch.durableTurn, record.turn);
        this.budget.confirm(record.allowance);
        return;
      }
      case 'abandoned':
      case 'ended':
      case 'forgotten':
      case 'intent':
      case 'spent':
        return;
    }
  }

  /** Begins a new holder's work: all that was recovered is durable, all that was allowed spent. */
  public startUnderNewHolder(): void {
    this.openingIsDurable = true;
    for (const branch of this.branches.values()) {
      branch.durableTurn = branch.turn;
    }
    this.budget.startUnderNewHolder();
  }

  /** The form that snapshots keep. */
  public toSnapshot(ageMilliseconds: number, isHandedOver: boolean): ProgramSnapshot {
    return {
      ageMilliseconds,
      budget: this.budget.toSnapshot(isHandedOver),
      hasEnded: this.ended,
      intents: [...this.intents],
      opened: this.opened,
      turns: [...this.branches.values()].flatMap(branch => branch.history),
    };
  }

  private applyTurn(record: TurnRecord): void {
    const branch = this.branch(record.parentCall);
    const isNew = branch.extend(record);
    this.branches.set(record.parentCall, branch);
    this.intents.delete(record.call);
    this.turnsByCall.set(record.call, record);
    if (isNew) {
      this.budget.spend(record.usage.promptTokens + record.usage.outputTokens);
      this.attained += callCost(estimateTokens(record.request), record.usage.outputTokens);
    }
    this.budget.grant(record.allowance);
    this.recordedAgeMilliseconds = Math.max(this.recordedAgeMilliseconds, record.ageMilliseconds);
  }
}
