import type { BucketSize } from './tokenBucket.js';

/**
 * Kind of a loan request: for a `share` of rate and burst, for whole `tokens`, or to `settle` an
 * earlier loan before its end.
 */
export type LoanKind = 'settle' | 'share' | 'tokens';

/** Request of one instance to another for a part of a workspace's rate and burst. */
export interface LoanRequest {
  /** Name of the process that borrows; see {@link borrowerName}. */
  readonly borrower: string;
  readonly workspace: string;
  readonly kind: LoanKind;
  /** Number of tokens requested, or returned unspent when settling. */
  readonly tokens: number;
  /** Rate and burst in force at the borrower; a lender with other values lends nothing. */
  readonly size: BucketSize;
  /** Number of the loan to settle; 0 for none. */
  readonly loanId: number;
  /** Numbers of the loans of tokens from this lender that have been spent completely. */
  readonly spentLoans: readonly number[];
}

/** Response to a loan request. A loan of no tokens and no share means that nothing was lent. */
export interface Loan {
  /** Number of the loan at its lender; 0 for none. */
  readonly loanId: number;
  /** Number of tokens lent; may be fractional for a share. */
  readonly tokens: number;
  /** Fraction of the workspace's rate and burst, from 0 to 1. */
  readonly share: number;
  /** Time for which the loan may be used; the borrower counts it from before it sent the request. */
  readonly validMilliseconds: number;
  /** Time after which another request may succeed, in milliseconds. */
  readonly retryMilliseconds: number;
  /**
   * Whether the lender does not know its own supply of tokens yet, as when it is still borrowing
   * shares; `retryMilliseconds` then does not estimate the supply.
   */
  readonly isGathering: boolean;
}

/** Client that requests loans from other instances. */
export interface LoanClient {
  /** Requests a loan from an instance; `undefined` if no response came. */
  borrow(lender: string, request: LoanRequest): Promise<Loan | undefined>;
}

/** Identity of a process that borrows from others. */
export interface BorrowerProcess {
  readonly instance: string;
  /** Address that the process has bound. */
  readonly address: string;
  readonly incarnation: string;
}

const INCARNATION_SEPARATOR = '/';

/** Durations of loans. They must be the same on every instance of a fleet. */
export interface LoanTerms {
  /** Maximum duration of a loan of a share, in milliseconds. */
  readonly shareMilliseconds: number;
  /** Maximum duration of a loan of tokens, in milliseconds; at most that of a share. */
  readonly tokenMilliseconds: number;
  /** Time between renewals of borrowed shares, in milliseconds. */
  readonly renewMilliseconds: number;
}

/** Maximum fraction by which a monotonic clock may run fast or slow. */
export const MAXIMUM_CLOCK_DRIFT = 0.0005;
/** Fraction by which a lender counts a loan longer than its borrower; covers the drift of both. */
const LENDER_MARGIN = 0.01;

/**
 * Extends the validity of a loan by the lender's margin.
 *
 * @returns time for which the lender counts the loan as lent, in milliseconds from its response
 */
export function addLenderMargin(validMilliseconds: number): number {
  return validMilliseconds * (1 + LENDER_MARGIN);
}

/**
 * Names the process that borrows. Only a process that has bound the address may use the name: a
 * new process of the same instance at the same address confirms that the earlier one has exited.
 *
 * @example
 * borrowerName({ address: '10.0.0.1:4000', incarnation, instance: 'entry-1' });
 */
export function borrowerName(process: BorrowerProcess): string {
  return `${process.instance}@${process.address}${INCARNATION_SEPARATOR}${process.incarnation}`;
}

/** Whether two borrower names belong to different processes of one instance at one address. */
export function isOtherIncarnation(left: string, right: string): boolean {
  const instanceAndAddressOf = (name: string): string =>
    name.slice(0, name.indexOf(INCARNATION_SEPARATOR));
  return left !== right && instanceAndAddressOf(left) === instanceAndAddressOf(right);
}

/** Creates the response that lends nothing. */
export function noLoan(retryMilliseconds: number): Loan {
  return {
    isGathering: false,
    loanId: 0,
    retryMilliseconds,
    share: 0,
    tokens: 0,
    validMilliseconds: 0,
  };
}
