import type { ProgramId, Result, TimerService } from '@zincring/core';
import type { ShardStanding } from '@zincring/coordination';
import type { ServiceRule } from '@zincring/rules';

import { Err, Ok, toZincringError, ZincringError } from '@zincring/core';

import type {
  EnginePayload,
  PlainPayload,
  UpstreamDispatcher,
  UpstreamWork,
} from '../upstreams/upstreamMessages.js';
import type { CallRequest, CallUsage } from './programMessages.js';
import type { ProgramRecord, TurnRecord } from './programRecord.js';
import type { ProgramState } from './programState.js';
import type { RunningCall } from './runningCall.js';

/** What running calls needs. */
export interface CallRunnerOptions {
  readonly dispatcher: UpstreamDispatcher;
  readonly timers: TimerService;
  /** Applies a record and waits until it is durable. */
  readonly record: (
    state: ProgramState,
    record: ProgramRecord,
  ) => Promise<Result<void, ZincringError>>;
  /** How this instance stands to the shard of a program. */
  readonly standing: (program: ProgramId) => ShardStanding;
}

/** What an upstream answered. */
interface UpstreamAnswer {
  readonly usage: CallUsage;
  readonly status: number;
}

/** HTTP methods that have no effects by definition. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Runs one call of a program: checks, upstream, turn. */
export class CallRunner {
  public constructor(private readonly options: CallRunnerOptions) {}

  /** Runs a call to its end; every outcome goes to `running`. */
  public async run(
    request: CallRequest,
    state: ProgramState,
    rule: ServiceRule | undefined,
    running: RunningCall,
  ): Promise<void> {
    try {
      const refusal = this.findRefusal(request, state, rule);
      if (refusal !== undefined || rule === undefined) {
        throw refusal ?? new ZincringError('service-not-found');
      }
      const answer = await this.send(request, state, rule, running);
      await this.takeTurn(request, state, answer, running);
    } catch (failure) {
      running.finish({ error: toZincringError(failure), kind: 'failed' });
    }
  }

  private findRefusal(
    request: CallRequest,
    state: ProgramState,
    rule: ServiceRule | undefined,
  ): ZincringError | undefined {
    if (this.options.standing(request.program) !== 'held') {
      return new ZincringError('shard-unavailable');
    }
    if (state.hasEnded) {
      return new ZincringError('program-ended');
    }
    if (rule === undefined) {
      return new ZincringError('service-not-found');
    }
    if (request.turn !== state.turn + 1) {
      return new ZincringError('turn-conflict', { resume: state.resumePoint });
    }
    const isOverTokens = rule.protocol === 'engine' && state.tokensLeft < request.maxTokens;
    if (state.callsLeft < 1 || isOverTokens) {
      return new ZincringError('budget-exhausted', { resume: state.resumePoint });
    }
    return undefined;
  }

  private async send(
    request: CallRequest,
    state: ProgramState,
    rule: ServiceRule,
    running: RunningCall,
  ): Promise<UpstreamAnswer> {
    const work = this.createWork(request, state, rule);
    let status = 0;
    for await (const frame of this.options.dispatcher.dispatch(work)) {
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
          await this.abandonIfNotRun(request, state, work, frame.error);
          throw frame.error;
      }
    }
    throw new ZincringError('upstream-failed', { detail: 'the answer has no end' });
  }

  private createWork(request: CallRequest, state: ProgramState, rule: ServiceRule): UpstreamWork {
    const isIdempotent =
      rule.protocol === 'engine' || rule.idempotent || SAFE_METHODS.has(request.method);
    return {
      attainedTokens: state.opened.tokens - state.tokensLeft,
      beforeSend: async () => this.prepareSend(request, state, isIdempotent),
      call: request.call,
      isIdempotent,
      payload: createPayload(request, state, rule),
      program: request.program,
      rule,
      service: request.service,
      signal: AbortSignal.timeout(request.timeoutMilliseconds),
      timeoutMilliseconds: request.timeoutMilliseconds,
      workspace: request.workspace,
    };
  }

  /** Stores the intent of non-idempotent work and looks at the lease again after it. */
  private async prepareSend(
    request: CallRequest,
    state: ProgramState,
    isIdempotent: boolean,
  ): Promise<Result<void, ZincringError>> {
    if (isIdempotent) {
      return Ok(undefined);
    }
    const { call, program } = request;
    const intended = await this.options.record(state, { call, program, type: 'intent' });
    if (intended.err) {
      return Err(new ZincringError('store-unavailable', { ran: 'no' }));
    }
    return this.options.standing(program) === 'held'
      ? Ok(undefined)
      : Err(new ZincringError('shard-unavailable'));
  }

  private async abandonIfNotRun(
    request: CallRequest,
    state: ProgramState,
    work: UpstreamWork,
    error: ZincringError,
  ): Promise<void> {
    const { call, program } = request;
    if (!work.isIdempotent && error.ran === 'no' && state.findCall(call).status === 'intended') {
      await this.options.record(state, { call, program, type: 'abandoned' });
    }
  }

  private async takeTurn(
    request: CallRequest,
    state: ProgramState,
    answer: UpstreamAnswer,
    running: RunningCall,
  ): Promise<void> {
    const text = running.text();
    const body = Buffer.from(request.body).toString('utf8');
    const turn: TurnRecord = {
      answer: text,
      call: request.call,
      digest: state.nextDigest(body, text),
      program: request.program,
      request: body,
      service: request.service,
      turn: state.turn + 1,
      type: 'turn',
      upstreamStatus: answer.status,
      usage: answer.usage,
    };
    const stored = await this.options.record(state, turn);
    if (stored.ok) {
      state.durableTurn = Math.max(state.durableTurn, turn.turn);
    }
    running.finish({
      digest: turn.digest,
      isDurable: stored.ok,
      kind: 'closed',
      turn: turn.turn,
      upstreamStatus: turn.upstreamStatus,
      usage: turn.usage,
    });
  }
}

function createPayload(
  request: CallRequest,
  state: ProgramState,
  rule: ServiceRule,
): EnginePayload | PlainPayload {
  if (rule.protocol === 'engine') {
    return {
      maxTokens: request.maxTokens,
      protocol: 'engine',
      segments: [...state.segments, Buffer.from(request.body).toString('utf8')],
    };
  }
  return {
    body: request.body,
    contentType: 'application/json',
    method: request.method,
    path: request.path,
    protocol: 'plain',
  };
}
