import type { CallId, ProgramId } from '@zincring/core';

import { expect } from 'vitest';

import type { CallClosed, CallFailed, CallRequest } from '../../src/programs/programMessages.js';
import type { ProgramCluster, ProgramNode } from './programCluster.js';

import { createCallRequest, ENGINE, readEndFrame, TICKETS } from './programCluster.js';

/** Token budget of a program under the policy `trace`. */
const TOKENS = 4_000;

/** Options of a simulated call. */
export interface CallOptions {
  /** Whether the call goes to the non-idempotent service. */
  readonly hasSideEffect: boolean;
  /** Whether the call belongs to the branch of a parent call. */
  readonly isSubAgentCall: boolean;
  /** Number of the call's turn relative to the last turn that the caller knows; 1 is the next. */
  readonly turnOffset: number;
}

/** Callers that record the responses they received and check them against the later state. */
export class SimulatedCallers {
  private readonly requests: CallRequest[] = [];
  private readonly lastTurnByBranch = new Map<string, number>();
  private readonly durableResponses = new Map<string, { request: CallRequest; end: CallClosed }>();
  /** Number of attempts of each call that were not reported as not run. */
  private readonly possibleExecutions = new Map<string, number>();

  public constructor(private readonly cluster: ProgramCluster) {}

  /** Sends a new call. */
  public call(program: ProgramId, target: ProgramNode, options: CallOptions): void {
    const parentCall = options.isSubAgentCall ? ('parent' as CallId) : undefined;
    const turn =
      (this.lastTurnByBranch.get(`${program}/${parentCall ?? ''}`) ?? 0) + options.turnOffset;
    const service = options.hasSideEffect ? TICKETS : ENGINE;
    const name = `call-${String(this.requests.length)}`;
    const request = createCallRequest(program, name, Math.max(1, turn), { parentCall, service });
    this.requests.push(request);
    this.send(request, target);
  }

  /** Sends one of the earlier calls again. */
  public resend(requestIndex: number, findTarget: (program: ProgramId) => ProgramNode): void {
    const request = this.requests[requestIndex % Math.max(1, this.requests.length)];
    if (request !== undefined) {
      this.send(request, findTarget(request.program));
    }
  }

  /**
   * Checks that durable turns are still there, no call with a side effect ran twice, no call
   * reported as not run did run, and no program exceeded its token budget.
   */
  public async checkGuarantees(): Promise<void> {
    for (const { end, request } of this.durableResponses.values()) {
      const homeNode = await this.cluster.findHomeNode(request.program);
      const repeated = await this.cluster.advanceUntilSettled(
        readEndFrame(homeNode.home.call(request)),
      );
      expect(repeated).toMatchObject({ digest: end.digest, kind: 'closed', turn: end.turn });
    }
    const { executions, tokens } = this.cluster.counters;
    for (const request of this.requests.filter(candidate => candidate.service === TICKETS)) {
      const key = `${request.program}/${request.call}`;
      expect(executions.get(key) ?? 0).toBeLessThanOrEqual(1);
    }
    for (const [key, attempts] of this.possibleExecutions) {
      if (attempts === 0) {
        expect(`${key}: ${String(executions.get(key) ?? 0)}`).toBe(`${key}: 0`);
      }
    }
    for (const used of tokens.values()) {
      expect(used).toBeLessThanOrEqual(TOKENS);
    }
  }

  private send(request: CallRequest, target: ProgramNode): void {
    const key = `${request.program}/${request.call}`;
    this.countAttempt(key, 1);
    void target.delayWhilePaused(readEndFrame(target.home.call(request))).then(end => {
      if (end.kind === 'closed') {
        this.recordClosed(key, request, end);
      } else {
        this.recordFailed(key, request, end);
      }
    });
  }

  private recordClosed(key: string, request: CallRequest, end: CallClosed): void {
    const branch = `${request.program}/${request.parentCall ?? ''}`;
    this.lastTurnByBranch.set(branch, Math.max(end.turn, this.lastTurnByBranch.get(branch) ?? 0));
    if (end.isDurable) {
      this.durableResponses.set(key, { end, request });
    }
  }

  private recordFailed(key: string, request: CallRequest, end: CallFailed): void {
    const { ran, resume } = end.error;
    if (resume !== undefined) {
      this.lastTurnByBranch.set(`${request.program}/${request.parentCall ?? ''}`, resume.turn);
    }
    if (ran === 'no') {
      this.countAttempt(key, -1);
    }
  }

  private countAttempt(key: string, change: number): void {
    this.possibleExecutions.set(key, (this.possibleExecutions.get(key) ?? 0) + change);
  }
}
