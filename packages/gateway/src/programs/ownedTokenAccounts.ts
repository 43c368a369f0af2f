import type { TimerService } from '@zincring/core';

import { sleep } from '@zincring/core';
import { LRUCache } from 'lru-cache';

import type {
  OwnedTokens,
  OwnedTokensReply,
  TokenAccounts,
  TokenDecision,
  TurnDemand,
} from './tokenAccounts.js';

/** Maximum wait of another instance for a decision, in milliseconds: a few response times of the store. */
const MAXIMUM_OWNED_WAIT_MILLISECONDS = 60;
/** Maximum number of reservations that are remembered. */
const MAXIMUM_RESERVATIONS = 10_000;
/**
 * Time after which a reservation that was not settled counts as delivered in full, in milliseconds:
 * longer than any turn runs, so its instance is gone.
 */
const MAXIMUM_RESERVATION_MILLISECONDS = 60_000;
const cancelled: Promise<TokenDecision> = Promise.resolve({ kind: 'unknown' });

/**
 * Keeps token accounts on behalf of other instances. A reservation is remembered until it is settled,
 * so that repeated calls of an instance that missed an answer take effect once.
 *
 * @example
 * const reply = await owned.reserveOwned(demand);
 */
export class OwnedTokenAccounts implements OwnedTokens {
  private readonly decisions = new LRUCache<string, Promise<TokenDecision>>({
    max: MAXIMUM_RESERVATIONS,
  });

  public constructor(
    private readonly accounts: TokenAccounts,
    private readonly timers: TimerService,
  ) {}

  public async reserveOwned(demand: TurnDemand): Promise<OwnedTokensReply> {
    const { reservation } = demand;
    const pending = this.decisions.get(reservation) ?? this.startReserving(demand);
    const timeout = sleep(this.timers, MAXIMUM_OWNED_WAIT_MILLISECONDS).then(
      () => ({ kind: 'pending' }) as const,
    );
    const decision = await Promise.race([pending, timeout]);
    switch (decision.kind) {
      case 'held':
        return { kind: 'held', startsProgram: decision.startsProgram };
      case 'pending':
        return decision;
      case 'spent':
        this.decisions.delete(reservation);
        return decision;
      case 'unknown':
        this.decisions.delete(reservation);
        return { kind: 'without-store' };
    }
  }

  public async settleOwned(reservation: string, deliveredTokens: number): Promise<boolean> {
    const pending = this.decisions.get(reservation);
    // The call that reserves may still arrive, and then it must not take effect.
    this.decisions.set(reservation, cancelled);
    const decision = await pending;
    if (decision?.kind === 'held') {
      decision.settle(deliveredTokens);
    }
    return true;
  }

  private async startReserving(demand: TurnDemand): Promise<TokenDecision> {
    const { maximumTokens, reservation } = demand;
    const pending = this.accounts.reserve(demand, new AbortController().signal);
    this.decisions.set(reservation, pending);
    this.timers.after(MAXIMUM_RESERVATION_MILLISECONDS, () => {
      void this.settleOwned(reservation, maximumTokens);
    });
    return await pending;
  }
}
