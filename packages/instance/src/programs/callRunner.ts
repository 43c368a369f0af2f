import type { Result, TimerService } from '@zincring/core';
import type { ProgramRule, ServiceRule } from '@zincring/rules';

import { Err, Ok, toZincringError, ZincringError } from '@zincring/core';

import type { UpstreamDispatcher, UpstreamWork } from '../upstreams/upstreamMessages.js';
import type { CallUsage } from './programMessages.js';
import type { HomeShard } from './homeShard.js';
import type { ProgramState } from './programState.js';
import type { TurnRecord } from './programRecord.js';
import type { RunningCall } from './runningCall.js';

import { createPayload, isIdempotentCall, tokenBound } from './callPayload.js';
import { untilAborted } from './untilAborted.js';

/** What running calls needs. */
export interface CallRunnerOptions {
  readonly dispatcher: UpstreamDispatcher;
  readonly timers: TimerService;
}

/** The rules in force when a call starts to run. */
export interface CallRules {
  /** The rule that binds the program; `undefined` when it has been withdrawn. */
  readonly program: ProgramRule | undefined;
  readonly service: ServiceRule | undefined;
}

/** One call on its way. */
interface CallContext {
  readonly running: RunningCall;
  readonly home: HomeShard;
  readonly state: ProgramState;
  readonly rule: ServiceRule;
  readonly isIdempotent: boolean;
  /** Whether something may have been sent. */
  mayBeSent: boolean;
}

/** What an upstream answered. */
interface UpstreamAnswer {
  readonly usage: CallUsage;
  readonly status: number;
}

const RESERVATION_ATTEMPTS = 4;

/** Runs one call of a program: checks, budget, upstream, turn. */
export class CallRunner {
  public constructor(private readonly options: CallRunnerOptions) {}

  /** Runs a call to its end; every outcome goes to `running`. */
  public async run(
    running: RunningCall,
    home: HomeShard,
    state: ProgramState,
    rules: CallRules,
  ): Promise<void> {
    const { call, program } = running.request;
    const timeout = this.options.timers.after(findTimeout(running, home, state, rules), () => {
      running.abort(new ZincringError('deadline-exceeded'));
    });
    try {
      const rule = checkRules(running, rules);
      const isIdempotent = isIdempotentCall(running.request, rule);
      const context = { home, isIdempotent, mayBeSent: false, rule, running, state };
      checkState(context);
      state.startCall(call);
      await this.reserve(context);
      await this.takeTurn(context, await this.send(context));
    } catch (failure) {
      running.finish({ error: toZincringError(failure), kind: 'failed' });
    } finally {
      timeout.stop();
      state.finishCall(call);
      const known = home.programs.find(program);
      if (known !== undefined) {
        home.programs.touch(known);
      }
    }
  }

  /** Reserves the upper bound of what the call can use, in the log as well where that is needed. */
  private async reserve({ home, rule, running, state }: CallContext): Promise<void> {
    const { call, program } = running.request;
    const tokens = tokenBound(running.request, state, rule);
    for (let attempt = 0; attempt < RESERVATION_ATTEMPTS; attempt++) {
      switch (state.budget.reserve(call, tokens)) {
        case 'reserved':
          return;
        case 'exhausted':
          throw new ZincringError('budget-exhausted', { resume: resumePoint(running, state) });
        case 'beyond-allowance':
          break;
      }
      const allowance = state.budget.allowanceFor(tokens);
      const granted = await home.writeDurably({ allowance, program, type: 'reserved' });
      if (granted.err) {
        throw new ZincringError('store-unavailable', { ran: 'no' });
      }
    }
    throw new ZincringError('store-unavailable', { ran: 'no' });
  }

  private async send(context: CallContext): Promise<UpstreamAnswer> {
    const { running } = context;
    const work = this.createWork(context);
    let status = 0;
    try {
      for await (const frame of untilAborted(
        this.options.dispatcher.dispatch(work),
        running.signal,
      )) {
        switch (frame.kind) {
          case 'head':
            status = frame.status;
            break;
          case 'data':
            running.append(frame.data);
            break;
          case 'done':
            return { status, usage: frame.usage };
          case 'failed':
            throw frame.error;
        }
      }
      throw new ZincringError('upstream-failed', { detail: 'the answer has no end' });
    } catch (failure) {
      settleFailure(context, toZincringError(failure));
      throw failure;
    }
  }

  private createWork(context: CallContext): UpstreamWork {
    const { isIdempotent, rule, running, state } = context;
    const { request } = running;
    return {
      attainedTokens: state.attainedTokens,
      beforeSend: async () => this.prepareSend(context),
      call: request.call,
      isIdempotent,
      payload: createPayload(request, state, rule),
      program: request.program,
      rule,
      service: request.service,
      signal: running.signal,
      timeoutMilliseconds: request.timeoutMilliseconds,
      workspace: request.workspace,
    };
  }

  /** Stores the intent of non-idempotent work and looks at the lease again after it. */
  private async prepareSend(context: CallContext): Promise<Result<void, ZincringError>> {
    const { home, isIdempotent, running, state } = context;
    const { call, program } = running.request;
    if (!isIdempotent) {
      const { requestDigest } = running;
      const intended = await home.writeDurably({ call, program, requestDigest, type: 'intent' });
      if (intended.err || running.isOver) {
        abandonIntent(home, state, running);
        return Err(new ZincringError('store-unavailable', { ran: 'no' }));
      }
    }
    const refusal = findSendRefusal(context);
    if (refusal !== undefined) {
      abandonIntent(home, state, running);
      return Err(refusal);
    }
    context.mayBeSent = true;
    return Ok(undefined);
  }

  private async takeTurn(context: CallContext, answer: UpstreamAnswer): Promise<void> {
    const { home, running, state } = context;
    if (running.isOver) {
      throw new ZincringError('call-interrupted');
    }
    const turn = createTurn(context, answer);
    const written = home.write(turn);
    if (written.err) {
      throw written.val;
    }
    const outcome = await home.settle(written.val);
    if (outcome === 'lost') {
      throw new ZincringError('call-interrupted', { resume: resumePoint(running, state) });
    }
    running.finish({
      digest: turn.digest,
      isDurable: outcome === 'durable',
      kind: 'closed',
      turn: turn.turn,
      upstreamStatus: turn.upstreamStatus,
      usage: turn.usage,
    });
  }
}

function findTimeout(
  running: RunningCall,
  home: HomeShard,
  state: ProgramState,
  rules: CallRules,
): number {
  return Math.min(
    running.request.timeoutMilliseconds,
    rules.service === undefined ? Number.POSITIVE_INFINITY : rules.service.timeoutSeconds * 1_000,
    Math.max(0, state.opened.lifetimeMilliseconds - home.programs.ageOf(state)),
  );
}

function checkRules(running: RunningCall, rules: CallRules): ServiceRule {
  const isAllowed = rules.program?.services.includes(running.request.service) === true;
  if (rules.service === undefined || !isAllowed) {
    throw new ZincringError('service-not-found');
  }
  return rules.service;
}

function checkState(context: CallContext): void {
  const { home, running, state } = context;
  const refusal = findSendRefusal(context);
  if (refusal !== undefined) {
    throw refusal;
  }
  if (state.hasEnded) {
    throw new ZincringError('program-ended');
  }
  const resume = resumePoint(running, state);
  if (running.request.turn !== resume.turn + 1) {
    throw new ZincringError('turn-conflict', { resume });
  }
  if (state.callsLeft < 1) {
    throw new ZincringError('budget-exhausted', { resume });
  }
  if (!home.hasRoom) {
    throw new ZincringError('undurable-limit-reached', { resume });
  }
}

/** Why the call may not be sent now; to be asked again after every wait. */
function findSendRefusal(context: CallContext): ZincringError | undefined {
  const { home, isIdempotent, running } = context;
  if (running.isOver) {
    return new ZincringError('shard-unavailable');
  }
  switch (home.standing) {
    case 'held':
      return isIdempotent || !home.isStoreFailing
        ? undefined
        : new ZincringError('store-unavailable', { ran: 'no' });
    case 'releasing':
      // A call that began before the handover is finished by this holder.
      return undefined;
    case 'lapsed':
      return isIdempotent ? undefined : new ZincringError('store-unavailable', { ran: 'no' });
    case 'none':
    case 'recovering':
      return new ZincringError('shard-unavailable');
  }
}

function abandonIntent(home: HomeShard, state: ProgramState, running: RunningCall): void {
  const { call, program } = running.request;
  if (state.findCall(call).status === 'intended') {
    home.write({ call, program, type: 'abandoned' });
  }
}

/** Settles what a call without an answer leaves behind. */
function settleFailure(context: CallContext, error: ZincringError): void {
  const { home, running, state } = context;
  const { call, program } = running.request;
  if (!context.mayBeSent || error.ran === 'no') {
    abandonIntent(home, state, running);
    return;
  }
  const tokens = state.budget.reservedFor(call);
  if (tokens > 0) {
    // What the engine used of the reservation is not known: all of it counts.
    home.write({ program, type: 'spent', usedTokens: state.budget.used + tokens });
  }
}

function createTurn(context: CallContext, answer: UpstreamAnswer): TurnRecord {
  const { home, running, state } = context;
  const { request, requestDigest } = running;
  const parentCall = request.parentCall ?? null;
  const branch = state.branch(parentCall);
  const body = Buffer.from(request.body).toString('utf8');
  const text = running.text();
  const usedTokens = answer.usage.promptTokens + answer.usage.outputTokens;
  return {
    ageMilliseconds: home.programs.ageOf(state),
    allowance: state.budget.allowanceAfter(request.call, usedTokens),
    answer: text,
    call: request.call,
    digest: branch.nextDigest(body, text),
    parentCall,
    program: request.program,
    request: body,
    requestDigest,
    service: request.service,
    turn: branch.turn + 1,
    type: 'turn',
    upstreamStatus: answer.status,
    usage: answer.usage,
  };
}

function resumePoint(
  running: RunningCall,
  state: ProgramState,
): ReturnType<ProgramState['branch']>['resumePoint'] {
  return state.branch(running.request.parentCall ?? null).resumePoint;
}
