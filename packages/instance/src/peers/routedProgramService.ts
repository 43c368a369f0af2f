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
   * Follows a call at its home. While no byte has come, a home that is gone is looked for anew;
   * after that the stream is resumed where it broke, and never started again.
   */
  public async *call(request: CallRequest): AsyncGenerator<CallFrame> {
    const giveUpAt = this.options.timers.now() + this.waitLimit(request.timeoutMilliseconds);
    let offset = request.fromOffset;
    for (;;) {
      const attempt: CallRequest = {
        ...request,
        fromOffset: offset,
        isAttachOnly: request.isAttachOnly || offset > request.fromOffset,
      };
      let end: CallFrame | undefined;
      for await (const frame of this.homeOf(request.program).call(attempt)) {
        if (frame.kind !== 'data') {
          end = frame;
          break;
        }
        if (frame.offset === offset) {
          offset += frame.data.length;
          yield frame;
        }
      }
      const failed: CallFrame = end ?? {
        error: new ZincringError('call-interrupted'),
        kind: 'failed',
      };
      if (failed.kind !== 'failed' || !this.shouldLookAgain(failed.error, giveUpAt)) {
        yield failed;
        return;
      }
      await sleep(this.options.timers, LOOK_PAUSE_MILLISECONDS);
    }
  }

  private async retryAtHome(
    program: ProgramId,
    operation: (home: ProgramService) => Promise<Result<ProgramSummary, ZincringError>>,
  ): Promise<Result<ProgramSummary, ZincringError>> {
    const giveUpAt = this.options.timers.now() + this.options.handoverWaitMilliseconds;
    for (;;) {
      const result = await operation(this.homeOf(program));
      if (result.ok || !this.shouldLookAgain(result.val, giveUpAt)) {
        return result.ok ? result : Err(result.val);
      }
      await sleep(this.options.timers, LOOK_PAUSE_MILLISECONDS);
    }
  }

  private shouldLookAgain(error: ZincringError, giveUpAt: number): boolean {
    const isPassing = error.kind === 'shard-unavailable' || error.kind === 'call-interrupted';
    return isPassing && this.options.timers.now() < giveUpAt;
  }

  private waitLimit(timeoutMilliseconds: number): number {
    return Math.min(timeoutMilliseconds, this.options.handoverWaitMilliseconds);
  }

  private homeOf(program: ProgramId): ProgramService {
    const { clients, home, isHeldHere, locations, membership, self, shardCount } = this.options;
    const shard = shardOf(program, shardCount);
    if (isHeldHere(shard)) {
      return home;
    }
    const holder = locations.holderOf(shard) ?? preferredHolder(shard, membership.eligible());
    const peer = holder === undefined ? undefined : membership.find(holder as InstanceId);
    if (holder === self || peer === undefined) {
      return home;
    }
    return new RemoteProgramService(clients.at(peer.address));
  }
}
