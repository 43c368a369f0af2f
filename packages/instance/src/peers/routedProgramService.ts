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

import { ResponseRelay } from './responseRelay.js';
import { HomeRetry } from './homeRetry.js';
import { HomeUnreachableError } from './homeUnreachableError.js';
import { RemoteProgramService } from './remoteProgramService.js';

/** Dependencies of {@link RoutedProgramService}. */
export interface RoutedProgramServiceOptions {
  readonly self: InstanceId;
  /** Serves the programs that this instance holds. */
  readonly home: ProgramService;
  readonly isHeldHere: (shard: ShardId) => boolean;
  readonly membership: Membership;
  readonly locations: ShardLocations;
  readonly clients: PeerClients;
  readonly timers: TimerService;
  readonly shardCount: number;
  /** Maximum wait for a holder of a shard that responds, in milliseconds. */
  readonly handoverWaitMilliseconds: number;
}

/** Pause before the holder of a shard is looked up again, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 50;

/** Routes each request to the home of its program, on this instance or on another. */
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
   * Relays a call from the home of its program. A home that has become unreachable is looked up
   * again, and a broken stream is resumed where it broke. Once a byte of the response has arrived, no
   * attempt may start the call again.
   */
  public async *call(request: CallRequest): AsyncGenerator<CallFrame> {
    const deadline = this.options.timers.now() + request.timeoutMilliseconds;
    const relay = new ResponseRelay();
    const retry = this.startRetry(deadline);
    for (;;) {
      const endFrame = yield* this.relayAttempt(request, relay, deadline);
      if (relay.length > retry.recordedLength) {
        retry.recordProgress(relay.length);
      }
      if (endFrame.kind !== 'failed') {
        yield endFrame;
        return;
      }
      const refusal = retry.recordFailure(endFrame.error);
      if (refusal !== undefined) {
        yield { error: refusal, kind: 'failed' };
        return;
      }
      await sleep(this.options.timers, RETRY_PAUSE_MILLISECONDS);
      relay.restart();
    }
  }

  /** Relays the response of one attempt and returns the frame that ends it. */
  private async *relayAttempt(
    request: CallRequest,
    relay: ResponseRelay,
    deadline: number,
  ): AsyncGenerator<CallFrame, Exclude<CallFrame, { kind: 'data' }>> {
    const attemptRequest: CallRequest = {
      ...request,
      isAttachOnly: request.isAttachOnly || relay.length > 0,
      timeoutMilliseconds: Math.max(1, Math.ceil(deadline - this.options.timers.now())),
    };
    for await (const frame of this.homeOf(request.program).call(attemptRequest)) {
      if (frame.kind === 'failed') {
        return frame;
      }
      if (frame.kind === 'closed') {
        return relay.hasCaughtUp ? frame : createResponseDiffersFrame();
      }
      const outcome = relay.accept(frame);
      if (outcome.kind === 'differs') {
        return createResponseDiffersFrame();
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
    const retry = this.startRetry(Number.POSITIVE_INFINITY);
    for (;;) {
      const result = await operation(this.homeOf(program));
      if (result.ok) {
        return result;
      }
      const refusal = retry.recordFailure(result.val);
      if (refusal !== undefined) {
        return Err(refusal);
      }
      await sleep(this.options.timers, RETRY_PAUSE_MILLISECONDS);
    }
  }

  private startRetry(deadline: number): HomeRetry {
    const { handoverWaitMilliseconds, timers } = this.options;
    return new HomeRetry({
      deadline,
      now: () => timers.now(),
      maximumWaitMilliseconds: handoverWaitMilliseconds,
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

function createResponseDiffersFrame(): Extract<CallFrame, { kind: 'failed' }> {
  return {
    error: new ZincringError('call-interrupted', { detail: 'the answer was made anew' }),
    kind: 'failed',
  };
}
