import type { InstanceId, ProgramId, Result, ShardId, TimerService } from '@zincring/core';
import type { Membership } from '@zincring/coordination';

import { Err, sleep, ZincringError } from '@zincring/core';
import { preferredHolder, shardOf } from '@zincring/coordination';

import type {
  CallFrame,
  CallRequest,
  OpenProgramRequest,
  ProgramReference,
  ProgramService,
  ProgramSummary,
} from '../programs/programMessages.js';
import type { PeerClients } from './peerClients.js';
import type { ShardLocations } from './shardLocations.js';

import { AnswerRelay } from './answerRelay.js';
import { HomeSearch } from './homeSearch.js';
import { HomeUnreachableError } from './homeUnreachableError.js';
import { RemoteProgramService } from './remoteProgramService.js';

/** What routing to the homes of programs needs. */
export interface RoutedProgramServiceOptions {
  readonly self: InstanceId;
  readonly home: ProgramService;
  readonly isHeldHere: (shard: ShardId) => boolean;
  readonly membership: Membership;
  readonly locations: ShardLocations;
  readonly clients: PeerClients;
  readonly timers: TimerService;
  readonly shardCount: number;
  /** How long a shard without a holder is waited for, in milliseconds. */
  readonly handoverWaitMilliseconds: number;
}

/** Pause between looks for the holder of a shard, in milliseconds. */
const LOOK_PAUSE_MILLISECONDS = 50;

/** Sends each request to the home of its program, here or at another instance. */
export class RoutedProgramService implements ProgramService {
  public constructor(private readonly options: RoutedProgramServiceOptions) {}

  public async open(request: OpenProgramRequest): Promise<Result<ProgramSummary, ZincringError>> {
    return await this.retryAtHome(request.program, async home => home.open(request));
  }

  public async describe(
    reference: ProgramReference,
  ): Promise<Result<ProgramSummary, ZincringError>> {
    return await this.retryAtHome(reference.program, async home => home.describe(reference));
  }

  public async end(reference: ProgramReference): Promise<Result<ProgramSummary, ZincringError>> {
    return await this.retryAtHome(reference.program, async home => home.end(reference));
  }

  /**
   * Follows a call at its home. A home that is gone is looked for anew, and a stream that broke is
   * continued where it broke. Once a byte has come, no attempt may start the call again.
   */
  public async *call(request: CallRequest): AsyncGenerator<CallFrame> {
    const deadline = this.options.timers.now() + request.timeoutMilliseconds;
    const relay = new AnswerRelay();
    const search = this.startSearch(deadline);
    for (;;) {
      const end = yield* this.attempt(request, relay, deadline);
      if (relay.length > search.lengthSeen) {
        search.restart(relay.length);
      }
      if (end.kind !== 'failed') {
        yield end;
        return;
      }
      const refusal = search.note(end.error);
      if (refusal !== undefined) {
        yield { error: refusal, kind: 'failed' };
        return;
      }
      await sleep(this.options.timers, LOOK_PAUSE_MILLISECONDS);
      relay.restart();
    }
  }

  private async *attempt(
    request: CallRequest,
    relay: AnswerRelay,
    deadline: number,
  ): AsyncGenerator<CallFrame, Exclude<CallFrame, { kind: 'data' }>> {
    const attempt: CallRequest = {
      ...request,
      isAttachOnly: request.isAttachOnly || relay.length > 0,
      timeoutMilliseconds: Math.max(1, Math.ceil(deadline - this.options.timers.now())),
    };
    for await (const frame of this.homeOf(request.program).call(attempt)) {
      if (frame.kind === 'failed') {
        return frame;
      }
      if (frame.kind === 'closed') {
        return relay.hasCaughtUp ? frame : answerDiffers();
      }
      const outcome = relay.accept(frame);
      if (outcome.kind === 'differs') {
        return answerDiffers();
      }
      if (outcome.kind === 'passed') {
        yield outcome.frame;
      }
    }
    return { error: new HomeUnreachableError(true, 'the stream ended early'), kind: 'failed' };
  }

  private async retryAtHome(
    program: ProgramId,
    operation: (home: ProgramService) => Promise<Result<ProgramSummary, ZincringError>>,
  ): Promise<Result<ProgramSummary, ZincringError>> {
    const search = this.startSearch(Number.POSITIVE_INFINITY);
    for (;;) {
      const result = await operation(this.homeOf(program));
      if (result.ok) {
        return result;
      }
      const refusal = search.note(result.val);
      if (refusal !== undefined) {
        return Err(refusal);
      }
      await sleep(this.options.timers, LOOK_PAUSE_MILLISECONDS);
    }
  }

  private startSearch(deadline: number): HomeSearch {
    const { handoverWaitMilliseconds, timers } = this.options;
    return new HomeSearch({
      deadline,
      now: () => timers.now(),
      waitMilliseconds: handoverWaitMilliseconds,
    });
  }

  private homeOf(program: ProgramId): ProgramService {
    const { clients, home, isHeldHere, locations, membership, self, shardCount } = this.options;
    const shard = shardOf(program, shardCount);
    if (isHeldHere(shard)) {
      return home;
    }
    const holder = locations.holderOf(shard) ?? preferredHolder(shard, membership.eligible());
    const peer = holder === undefined ? undefined : membership.findAlive(holder as InstanceId);
    if (holder === self || peer === undefined) {
      return home;
    }
    return new RemoteProgramService(clients.at(peer.address));
  }
}

function answerDiffers(): Extract<CallFrame, { kind: 'failed' }> {
  return {
    error: new ZincringError('call-interrupted', { detail: 'the answer was made anew' }),
    kind: 'failed',
  };
}
