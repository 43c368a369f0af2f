import type { Loan, LoanClient, LoanRequest } from '@zincring/coordination';

import type { PeerClients } from '../peers/peerClients.js';

import { loanFromMessage, loanRequestToMessage } from './loanConversions.js';

/** Borrows shares of workspaces' rates from other instances. */
export type TokenBorrower = LoanClient;

/** Options of a {@link PeerTokenBorrower}. */
export interface PeerTokenBorrowerOptions {
  readonly clients: PeerClients;
  /** Returns the peer address of an instance; `undefined` if it is not known to be alive. */
  readonly addressOf: (instance: string) => string | undefined;
  /** Timeout of a loan request, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** Borrows from other instances through the RPC `Borrow`. */
export class PeerTokenBorrower implements TokenBorrower {
  public constructor(private readonly options: PeerTokenBorrowerOptions) {}

  public async borrow(lender: string, request: LoanRequest): Promise<Loan | undefined> {
    const { addressOf, clients, timeoutMilliseconds } = this.options;
    const address = addressOf(lender);
    if (address === undefined) {
      return undefined;
    }
    try {
      const response = await clients
        .at(address)
        .borrow(loanRequestToMessage(request), { timeoutMs: timeoutMilliseconds });
      return loanFromMessage(response);
    } catch {
      // If the lender granted a loan but its response was lost, it regains the loan at expiry.
      return undefined;
    }
  }
}
