import type { CallId, ProgramId } from '@zincring/core';

import { callCost } from '@zincring/scheduling';

import type { ProgramSummary } from './programMessages.js';
import type { OpenedRecord, ProgramRecord, TurnRecord } from './programRecord.js';
import type { TokenBudgetSnapshot } from './tokenBudget.js';

import { estimateTokens } from '../upstreams/workDigest.js';
import { BranchState } from './branchState.js';
import { TokenBudget } from './tokenBudget.js';

/** Durable state of a program, as snapshots store it. */
export interface ProgramSnapshot {
  readonly opened: OpenedRecord;
  /** Turns of all branches; those of one branch are in order. */
  readonly turns: readonly TurnRecord[];
  /** Calls with a stored intent, with the digests of their requests. */
  readonly intents: readonly (readonly [CallId, string])[];
  readonly hasEnded: boolean;
  readonly budget: TokenBudgetSnapshot;
  readonly ageMilliseconds: number;
}

/**
 * State of a call by its id: `done` with its turn, `intended` if its intent is stored but no turn,
 * or `unknown`.
 */
export type KnownCall =
  | { readonly status: 'done'; readonly turn: TurnRecord }
  | { readonly status: 'intended'; readonly requestDigest: string }
  | { readonly status: 'unknown' };

/**
 * State of one program. Its durable part results from the program's records alone: replaying the
 * same records gives the same state.
 */
export class ProgramState {
  private readonly branches = new Map<CallId | null, BranchState>();
  private readonly turnsByCall = new Map<CallId, TurnRecord>();
  private readonly intents = new Map<CallId, string>();
  private readonly startedCalls = new Set<CallId>();
  private ended = false;
  private attainedCost = 0;
  private openingIsDurable = false;
  /** Token budget of the program. */
  public readonly budget: TokenBudget;
  /** Highest age of the program that a record or snapshot contains. */
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

  /** Whether the program accepts no more calls. */
  public get hasEnded(): boolean {
    return this.ended;
  }

  /** Whether the record of the program's opening is durable. */
  public get isOpeningDurable(): boolean {
    return this.openingIsDurable;
  }

  /** Number of calls that the program may still start. */
  public get callsLeft(): number {
    const unfinished = new Set([...this.intents.keys(), ...this.startedCalls]);
    return Math.max(0, this.opened.calls - this.turnsByCall.size - unfinished.size);
  }

  /** Summary for callers. */
  public get summary(): ProgramSummary {
    const programBranch = this.getBranch(null);
    return {
      callsLeft: this.callsLeft,
      digest: programBranch.digest,
      durableTurn: programBranch.durableTurn,
      hasEnded: this.ended,
      policy: this.opened.policy,
      program: this.opened.program,
      tokensLeft: this.budget.left,
      turn: programBranch.turn,
    };
  }

  /**
   * Returns the branch of the calls that sub-agents make for a call, or that of the program itself
   * for `null`. A branch without turns is returned empty and not stored.
   */
  public getBranch(parentCall: CallId | null): BranchState {
    return this.branches.get(parentCall) ?? new BranchState(this.program, parentCall);
  }

  /** Attained service of the program: the cost of its turns, in the cost unit of the fair queue. */
  public get attainedTokens(): number {
    return this.attainedCost;
  }

  /** Finds the state of a call by its id. */
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

  /** Counts a call that starts to run as one of the maximum number of calls. */
  public startCall(call: CallId): void {
    this.startedCalls.add(call);
  }

  /** Reverts {@link ProgramState.startCall} and releases the call's reserved tokens. */
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
        this.budget.raiseUsedTo(record.usedTokens);
        return;
      case 'ended':
        this.ended = true;
        return;
    }
  }

  /** Marks a record as durable: it is stored, and this holder may report it as durable. */
  public recordDurable(record: ProgramRecord): void {
    switch (record.type) {
      case 'opened':
        this.openingIsDurable = true;
        this.budget.confirm(record.allowance);
        return;
      case 'reserved':
        this.budget.confirm(record.allowance);
        return;
      case 'turn': {
        const branch = this.getBranch(record.parentCall);
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

  /**
   * Adjusts the recovered state for a new holder: everything recovered is durable, and the complete
   * allowance of the earlier holder counts as spent.
   */
  public startUnderNewHolder(): void {
    this.openingIsDurable = true;
    for (const branch of this.branches.values()) {
      branch.durableTurn = branch.turn;
    }
    this.budget.startUnderNewHolder();
  }

  /**
   * Creates the form that snapshots store.
   *
   * @param isHandedOver whether no call is running and this holder will start no more
   */
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
    const branch = this.getBranch(record.parentCall);
    const isNew = branch.extend(record);
    this.branches.set(record.parentCall, branch);
    this.intents.delete(record.call);
    this.turnsByCall.set(record.call, record);
    if (isNew) {
      this.budget.spend(record.usage.promptTokens + record.usage.outputTokens);
      this.attainedCost += callCost(estimateTokens(record.request), record.usage.outputTokens);
    }
    this.budget.grant(record.allowance);
    this.recordedAgeMilliseconds = Math.max(this.recordedAgeMilliseconds, record.ageMilliseconds);
  }
}
