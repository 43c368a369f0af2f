import type { CallId, ProgramId } from '@zincring/core';

import { expect } from 'vitest';

import type { CallClosed, CallFailed, CallRequest } from '../../src/programs/programMessages.js';
import type { ProgramCluster, ProgramNode } from './programCluster.js';

import { createCall, ENGINE, readEnd, TICKETS } from './programCluster.js';

const TOKENS = 4_000;

/** What kind of call a caller makes. */
export interface CallChoice {
  readonly isEffect: boolean;
  readonly isBranch: boolean;
  /** How far the turn lies behind the last one that the caller knows. */
  readonly ahead: number;
}

/** Callers that remember what they were told. */
export class Callers {
  private readonly requests: CallRequest[] = [];
  private readonly lastTurns = new Map<string, number>();
  private readonly durable = new Map<string, { request: CallRequest; end: CallClosed }>();
  /** Attempts of each call that were not told that they did not run. */
  private readonly openAttempts = new Map<string, number>();

  public constructor(private readonly cluster: ProgramCluster) {}

  /** Sends a new call. */
  public call(program: ProgramId, target: ProgramNode, choice: CallChoice): void {
    const parentCall = choice.isBranch ? ('parent' as CallId) : undefined;
    const turn = (this.lastTurns.get(`${program}/${parentCall ?? ''}`) ?? 0) + choice.ahead;
    const service = choice.isEffect ? TICKETS : ENGINE;
    const name = `call-${String(this.requests.length)}`;
    const request = createCall(program, name, Math.max(1, turn), { parentCall, service });
    this.requests.push(request);
    this.send(request, target);
  }

  /** Sends one of the earlier calls once more. */
  public resend(pick: number, findTarget: (program: ProgramId) => ProgramNode): void {
    const request = this.requests[pick % Math.max(1, this.requests.length)];
    if (request !== undefined) {
      this.send(request, findTarget(request.program));
    }
  }

  /** Checks that every promise made has been kept. */
  public async check(): Promise<void> {
    for (const { end, request } of this.durable.values()) {
      const home = await this.cluster.homeOf(request.program);
      const repeated = await this.cluster.until(readEnd(home.home.call(request)));
      expect(repeated).toMatchObject({ digest: end.digest, kind: 'closed', turn: end.turn });
    }
    const { executions, tokens } = this.cluster.counters;
    for (const request of this.requests.filter(each => each.service === TICKETS)) {
      const key = `${request.program}/${request.call}`;
      expect(executions.get(key) ?? 0).toBeLessThanOrEqual(1);
    }
    for (const [key, attempts] of this.openAttempts) {
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
    void target.delayWhilePaused(readEnd(target.home.call(request))).then(end => {
      if (end.kind === 'closed') {
        this.noteClosed(key, request, end);
      } else {
        this.noteFailed(key, request, end);
      }
    });
  }

  private noteClosed(key: string, request: CallRequest, end: CallClosed): void {
    const branch = `${request.program}/${request.parentCall ?? ''}`;
    this.lastTurns.set(branch, Math.max(end.turn, this.lastTurns.get(branch) ?? 0));
    if (end.isDurable) {
      this.durable.set(key, { end, request });
    }
  }

  private noteFailed(key: string, request: CallRequest, end: CallFailed): void {
    const { ran, resume } = end.error;
    if (resume !== undefined) {
      this.lastTurns.set(`${request.program}/${request.parentCall ?? ''}`, resume.turn);
    }
    if (ran === 'no') {
      this.countAttempt(key, -1);
    }
  }

  private countAttempt(key: string, change: number): void {
    this.openAttempts.set(key, (this.openAttempts.get(key) ?? 0) + change);
  }
}
