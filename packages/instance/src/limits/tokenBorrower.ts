import type { Loan, LoanClient, LoanRequest } from '@zincring/coordination';

import type { PeerClients } from '../peers/peerClients.js';

import { loanFromMessage, loanRequestToMessage } from './loanConversions.js';

/** Asks other instances for parts of workspaces' rates. */
export type TokenBorrower = LoanClient;

/** What asking over the network needs. */
export interface PeerTokenBorrowerOptions {
  readonly clients: PeerClients;
  /** Peer address of an instance; `undefined` when it is not known to be alive. */
  readonly addressOf: (instance: string) => string | undefined;
  /** Longest wait for an answer, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/** Asks other instances by the RPC `Borrow`. */
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
      // What was lent without an answer comes back to the lender when the loan ends.
      return undefined;
    }
  }
}
