import type { Result, TimerService } from '@zincring/core';
import type { ProgramRule, ServiceRule } from '@zincring/rules';

import { Err, Ok, toZincringError, ZincringError } from '@zincring/core';

import type { UpstreamDispatcher, UpstreamWork } from '../upstreams/upstreamMessages.js';
import type { CallUsage } from './programMessages.js';
import type { HomeShard } from './homeShard.js';
import type { ProgramState } from './programState.js';
import type { TurnRecord } from './programRecord.js';
import type { RunningCall } from './runningCall.js';

import { createPayload, isIdempotentCall, computeMaximumTokens } from './callPayload.js';
import { iterateUntilAborted } from './iterateUntilAborted.js';

/** Options of a {@link CallRunner}. */
export interface CallRunnerOptions {
  readonly dispatcher: UpstreamDispatcher;
  readonly timers: TimerService;
}

/** Rules in force when a call starts to run. */
export interface CallRules {
  /** Rule of the program; `undefined` if it has been removed from the configuration. */
  readonly program: ProgramRule | undefined;
  /** Rule of the called service; `undefined` if there is none. */
  readonly service: ServiceRule | undefined;
}

/** State of one call while it runs. */
interface CallContext {
  readonly runningCall: RunningCall;
  readonly homeShard: HomeShard;
  readonly state: ProgramState;
  readonly rule: ServiceRule;
  readonly isIdempotent: boolean;
  /** Whether a request may have been sent to an upstream. */
  mayHaveBeenSent: boolean;
}

/** Status and usage of an upstream's response. */
interface UpstreamResponse {
  readonly usage: CallUsage;
  readonly status: number;
}

const MAXIMUM_RESERVATION_ATTEMPTS = 4;

/**
 * Runs the calls of programs: checks a call, reserves its tokens, sends it to an upstream and
 * stores the resulting turn.
 */
export class CallRunner {
  public constructor(private readonly options: CallRunnerOptions) {}

  /** Runs a call until it has finished and reports its outcome through `runningCall`. */
  public async run(
    runningCall: RunningCall,
    homeShard: HomeShard,
    state: ProgramState,
    rules: CallRules,
  ): Promise<void> {
    const { call, program } = runningCall.request;
    const timeout = this.options.timers.after(
      computeTimeoutMilliseconds(runningCall, homeShard, state, rules),
      () => {
        runningCall.abort(new ZincringError('deadline-exceeded'));
      },
    );
    try {
      const rule = checkRules(runningCall, rules);
      const isIdempotent = isIdempotentCall(runningCall.request, rule);
      const context = { homeShard, isIdempotent, mayHaveBeenSent: false, rule, runningCall, state };
      checkState(context);
      state.startCall(call);
      await this.reserveTokens(context);
      await this.storeTurn(context, await this.sendToUpstream(context));
    } catch (failure) {
      runningCall.finish({ error: toZincringError(failure), kind: 'failed' });
    } finally {
      timeout.stop();
      state.finishCall(call);
      const knownState = homeShard.programs.find(program);
      if (knownState !== undefined) {
        homeShard.programs.recordUse(knownState);
      }
    }
  }

  /**
   * Reserves the maximum number of tokens that the call can use. If they exceed the durable
   * allowance, a larger allowance is written to the log first.
   */
  private async reserveTokens({ homeShard, rule, runningCall, state }: CallContext): Promise<void> {
    const { call, program } = runningCall.request;
    const tokens = computeMaximumTokens(runningCall.request, state, rule);
    for (let attempt = 0; attempt < MAXIMUM_RESERVATION_ATTEMPTS; attempt++) {
      switch (state.budget.reserve(call, tokens)) {
        case 'reserved':
          return;
        case 'exhausted':
          throw new ZincringError('budget-exhausted', {
            resume: getResumePoint(runningCall, state),
          });
        case 'beyond-allowance':
          break;
      }
      const allowance = state.budget.computeAllowanceFor(tokens);
      const writeResult = await homeShard.writeDurably({ allowance, program, type: 'reserved' });
      if (writeResult.err) {
        throw new ZincringError('store-unavailable', { ran: 'no' });
      }
    }
    throw new ZincringError('store-unavailable', { ran: 'no' });
  }

  private async sendToUpstream(context: CallContext): Promise<UpstreamResponse> {
    const { runningCall } = context;
    const work = this.createWork(context);
    let status = 0;
    try {
      for await (const frame of iterateUntilAborted(
        this.options.dispatcher.dispatch(work),
        runningCall.signal,
      )) {
        switch (frame.kind) {
          case 'head':
            status = frame.status;
            break;
          case 'data':
            runningCall.append(frame.data);
            break;
          case 'done':
            return { status, usage: frame.usage };
          case 'failed':
            throw frame.error;
        }
      }
      throw new ZincringError('upstream-failed', { detail: 'the answer has no end' });
    } catch (failure) {
      settleFailedCall(context, toZincringError(failure));
      throw failure;
    }
  }

  private createWork(context: CallContext): UpstreamWork {
    const { isIdempotent, rule, runningCall, state } = context;
    const { request } = runningCall;
    return {
      attainedTokens: state.attainedTokens,
      beforeSend: async () => this.prepareSend(context),
      call: request.call,
      isIdempotent,
      payload: createPayload(request, state, rule),
      program: request.program,
      rule,
      service: request.service,
      signal: runningCall.signal,
      timeoutMilliseconds: request.timeoutMilliseconds,
      workspace: request.workspace,
    };
  }

  /** Stores the intent of a non-idempotent call, then checks the lease again. */
  private async prepareSend(context: CallContext): Promise<Result<void, ZincringError>> {
    const { homeShard, isIdempotent, runningCall, state } = context;
    const { call, program } = runningCall.request;
    if (!isIdempotent) {
      const { requestDigest } = runningCall;
      const writeResult = await homeShard.writeDurably({
        call,
        program,
        requestDigest,
        type: 'intent',
      });
      if (writeResult.err || runningCall.isFinished) {
        abandonIntent(homeShard, state, runningCall);
        return Err(new ZincringError('store-unavailable', { ran: 'no' }));
      }
    }
    const refusal = findSendRefusal(context);
    if (refusal !== undefined) {
      abandonIntent(homeShard, state, runningCall);
      return Err(refusal);
    }
    context.mayHaveBeenSent = true;
    return Ok(undefined);
  }

  private async storeTurn(context: CallContext, response: UpstreamResponse): Promise<void> {
    const { homeShard, runningCall, state } = context;
    if (runningCall.isFinished) {
      throw new ZincringError('call-interrupted');
    }
    const turn = createTurn(context, response);
    const written = homeShard.write(turn);
    if (written.err) {
      throw written.val;
    }
    const outcome = await homeShard.waitForOutcome(written.val);
    if (outcome === 'lost') {
      throw new ZincringError('call-interrupted', { resume: getResumePoint(runningCall, state) });
    }
    runningCall.finish({
      digest: turn.digest,
      isDurable: outcome === 'durable',
      kind: 'closed',
      turn: turn.turn,
      upstreamStatus: turn.upstreamStatus,
      usage: turn.usage,
    });
  }
}

function computeTimeoutMilliseconds(
  runningCall: RunningCall,
  homeShard: HomeShard,
  state: ProgramState,
  rules: CallRules,
): number {
  return Math.min(
    runningCall.request.timeoutMilliseconds,
    rules.service === undefined ? Number.POSITIVE_INFINITY : rules.service.timeoutSeconds * 1_000,
    Math.max(0, state.opened.lifetimeMilliseconds - homeShard.programs.getAgeMilliseconds(state)),
  );
}

function checkRules(runningCall: RunningCall, rules: CallRules): ServiceRule {
  const isAllowed = rules.program?.services.includes(runningCall.request.service) === true;
  if (rules.service === undefined || !isAllowed) {
    throw new ZincringError('service-not-found');
  }
  return rules.service;
}

function checkState(context: CallContext): void {
  const { homeShard, runningCall, state } = context;
  const refusal = findSendRefusal(context);
  if (refusal !== undefined) {
    throw refusal;
  }
  if (state.hasEnded) {
    throw new ZincringError('program-ended');
  }
  const resume = getResumePoint(runningCall, state);
  if (runningCall.request.turn !== resume.turn + 1) {
    throw new ZincringError('turn-conflict', { resume });
  }
  if (state.callsLeft < 1) {
    throw new ZincringError('budget-exhausted', { resume });
  }
  if (!homeShard.hasRoomForNewCall) {
    throw new ZincringError('undurable-limit-reached', { resume });
  }
}

/**
 * Finds the reason why the call may not be sent now; `undefined` if it may. Must be called again
 * after every await.
 */
function findSendRefusal(context: CallContext): ZincringError | undefined {
  const { homeShard, isIdempotent, runningCall } = context;
  if (runningCall.isFinished) {
    return new ZincringError('shard-unavailable');
  }
  switch (homeShard.leaseStatus) {
    case 'held':
      return isIdempotent || !homeShard.isStoreFailing
        ? undefined
        : new ZincringError('store-unavailable', { ran: 'no' });
    case 'releasing':
      // A call that started before the handover is finished by this holder.
      return undefined;
    case 'lapsed':
      return isIdempotent ? undefined : new ZincringError('store-unavailable', { ran: 'no' });
    case 'none':
    case 'recovering':
      return new ZincringError('shard-unavailable');
  }
}

function abandonIntent(homeShard: HomeShard, state: ProgramState, runningCall: RunningCall): void {
  const { call, program } = runningCall.request;
  if (state.findCall(call).status === 'intended') {
    homeShard.write({ call, program, type: 'abandoned' });
  }
}

/**
 * Updates the program's state after a call that failed: abandons its intent if the call did not
 * run, and otherwise counts its reserved tokens as used.
 */
function settleFailedCall(context: CallContext, error: ZincringError): void {
  const { homeShard, runningCall, state } = context;
  const { call, program } = runningCall.request;
  if (!context.mayHaveBeenSent || error.ran === 'no') {
    abandonIntent(homeShard, state, runningCall);
    return;
  }
  const tokens = state.budget.getReservedTokens(call);
  if (tokens > 0) {
    // It is unknown how much of the reservation the engine used, so all of it is counted.
    homeShard.write({ program, type: 'spent', usedTokens: state.budget.used + tokens });
  }
}

function createTurn(context: CallContext, response: UpstreamResponse): TurnRecord {
  const { homeShard, runningCall, state } = context;
  const { request, requestDigest } = runningCall;
  const parentCall = request.parentCall ?? null;
  const branch = state.getBranch(parentCall);
  const body = Buffer.from(request.body).toString('utf8');
  const text = runningCall.text();
  const usedTokens = response.usage.promptTokens + response.usage.outputTokens;
  return {
    ageMilliseconds: homeShard.programs.getAgeMilliseconds(state),
    allowance: state.budget.computeAllowanceAfter(request.call, usedTokens),
    answer: text,
    call: request.call,
    digest: branch.computeNextDigest(body, text),
    parentCall,
    program: request.program,
    request: body,
    requestDigest,
    service: request.service,
    turn: branch.turn + 1,
    type: 'turn',
    upstreamStatus: response.status,
    usage: response.usage,
  };
}

function getResumePoint(
  runningCall: RunningCall,
  state: ProgramState,
): ReturnType<ProgramState['getBranch']>['resumePoint'] {
  return state.getBranch(runningCall.request.parentCall ?? null).resumePoint;
}
