import type { Logger, TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';

import type { Owner, OwnerSelector } from '../peers/ownerSelector.js';
import type { TokenAccounts, TokenDecision, TurnDemand } from './tokenAccounts.js';

/** Dependencies of a {@link DelegatedTokenAccounts}. */
export interface DelegatedTokenAccountsDependencies {
  readonly owners: OwnerSelector;
  /** Accounts of the programs that this instance owns, and of all programs whose owner cannot be reached. */
  readonly local: TokenAccounts;
  readonly timers: TimerService;
  readonly logger: Logger;
}

/** Number of owners that are asked before this instance reserves tokens itself. */
const MAXIMUM_OWNERS = 2;
/** Maximum wait for the decision of an owner, in milliseconds: a few response times of a slow store. */
const MAXIMUM_WAIT_MILLISECONDS = 1_200;
/** Number of times that a settlement is sent. */
const MAXIMUM_SETTLEMENTS = 5;
/** Pause before a settlement is sent again, in milliseconds; it doubles each time. */
const SETTLEMENT_PAUSE_MILLISECONDS = 200;

/**
 * Reserves the tokens of turns at the instance that owns the program. All turns of a program then
 * draw on one reservation, whichever instances they arrive at, and most of them need no call to the
 * store. The row of the account keeps the budget, whichever instances reserve from it.
 *
 * @example
 * const decision = await accounts.reserve(demand, signal);
 */
export class DelegatedTokenAccounts implements TokenAccounts {
  public constructor(private readonly dependencies: DelegatedTokenAccountsDependencies) {}

  public async reserve(demand: TurnDemand, signal: AbortSignal): Promise<TokenDecision> {
    const { local, owners } = this.dependencies;
    for (let asked = 0; asked < MAXIMUM_OWNERS && !signal.aborted; asked++) {
      const owner = owners.choose(demand.program);
      if (owner === undefined) {
        break;
      }
      const decision = await this.reserveAt(owner, demand, signal);
      if (decision !== undefined) {
        return decision;
      }
    }
    return await local.reserve(demand, signal);
  }

  /** Asks an owner for its decision; `undefined` if it does not respond or cannot reach the store. */
  private async reserveAt(
    owner: Owner,
    demand: TurnDemand,
    signal: AbortSignal,
  ): Promise<TokenDecision | undefined> {
    const { owners, timers } = this.dependencies;
    const startedAt = timers.now();
    while (timers.now() - startedAt < MAXIMUM_WAIT_MILLISECONDS && !signal.aborted) {
      const reply = await owner.peer.reserveOwned(demand);
      switch (reply.kind) {
        case 'held':
          owners.recordSuccess(owner);
          return {
            kind: 'held',
            settle: deliveredTokens => void this.settle(owner, demand, deliveredTokens),
            startsProgram: reply.startsProgram,
          };
        case 'spent':
          owners.recordSuccess(owner);
          return reply;
        case 'without-store':
          owners.recordFailure(owner, reply.kind);
          return undefined;
        case 'unreachable':
          owners.recordFailure(owner, reply.kind);
          // The owner may have reserved the tokens although its answer is missing.
          void this.settle(owner, demand, 0);
          return undefined;
        case 'pending':
          break;
      }
    }
    void this.settle(owner, demand, 0);
    return { kind: 'unknown' };
  }

  private async settle(
    { instance, peer }: Owner,
    { program, reservation }: TurnDemand,
    deliveredTokens: number,
  ): Promise<void> {
    for (let sent = 0; sent < MAXIMUM_SETTLEMENTS; sent++) {
      if (await peer.settleOwned(reservation, deliveredTokens)) {
        return;
      }
      await sleep(this.dependencies.timers, SETTLEMENT_PAUSE_MILLISECONDS * 2 ** sent);
    }
    this.dependencies.logger.warn(
      { deliveredTokens, event: 'settlement-lost', owner: instance, program },
      'the owner of a program did not learn how many tokens a turn delivered; it counts the maximum',
    );
  }
}
