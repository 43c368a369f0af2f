import type { BucketSize } from './tokenBucket.js';

/**
 * What is asked of a lender: a `share` of rate and burst, whole `tokens`, or nothing more than to
 * `settle` an earlier loan of tokens before its end.
 */
export type LoanKind = 'settle' | 'share' | 'tokens';

/** One instance asks another for a part of a workspace's rate. */
export interface LoanRequest {
  /** The process that borrows; see {@link borrowerName}. */
  readonly borrower: string;
  readonly workspace: string;
  readonly kind: LoanKind;
  /** Tokens wished for, or given back when settling. */
  readonly tokens: number;
  /** Rate and burst in force at the borrower; a lender with other values lends nothing. */
  readonly size: BucketSize;
  /** The loan to settle; 0 for none. */
  readonly loan: number;
  /** Loans of tokens from this lender that were spent to the end. */
  readonly spentLoans: readonly number[];
}

/** What is lent. The zero loan stands for a refusal. */
export interface Loan {
  /** Number of the loan at its lender; 0 for none. */
  readonly loan: number;
  /** Tokens that change hands. */
  readonly tokens: number;
  /** Part of the workspace's rate and burst, from 0 to 1. */
  readonly share: number;
  /** How long the loan may be used, counted by the borrower from before its request. */
  readonly validMilliseconds: number;
  /** When asking again may help, in milliseconds. */
  readonly retryMilliseconds: number;
  /** Whether the lender is about to learn how many tokens it can have. */
  readonly isGathering: boolean;
}

/** The asking side of loans. */
export interface LoanClient {
  /** Asks an instance for a loan; `undefined` when no answer came. */
  borrow(lender: string, request: LoanRequest): Promise<Loan | undefined>;
}

/** What tells a process that borrows from others. */
export interface BorrowerProcess {
  readonly instance: string;
  /** Address that the process has bound. */
  readonly address: string;
  readonly incarnation: string;
}

const PROCESS_SEPARATOR = '/';

/** How long loans hold. The same on every instance of a fleet. */
export interface LoanTerms {
  /** Longest loan of a share, in milliseconds. */
  readonly shareMilliseconds: number;
  /** Longest loan of tokens, in milliseconds; not longer than a loan of a share. */
  readonly tokenMilliseconds: number;
  /** Time between renewals of borrowed shares, in milliseconds. */
  readonly renewMilliseconds: number;
}

/** Part by which a monotonic clock may run fast or slow. */
export const CLOCK_DRIFT_LIMIT = 0.0005;
/** Part by which a lender counts a loan longer than its borrower; covers the drift of both. */
const LOAN_MARGIN = 0.01;

/** How long the lender of a loan counts it as lent, in milliseconds from its reply. */
export function lenderMilliseconds(validMilliseconds: number): number {
  return validMilliseconds * (1 + LOAN_MARGIN);
}

/**
 * Names the process that borrows. Only a process that has bound the address may use the name: a
 * new process of the same instance at the same address proves that the earlier one is gone.
 *
 * @example
 * borrowerName({ address: '10.0.0.1:4000', incarnation, instance: 'entry-1' });
 */
export function borrowerName(process: BorrowerProcess): string {
  return `${process.instance}@${process.address}${PROCESS_SEPARATOR}${process.incarnation}`;
}

/** Whether two names stand for different processes of one instance at one address. */
export function isOtherProcess(left: string, right: string): boolean {
  const placeOf = (name: string): string => name.slice(0, name.indexOf(PROCESS_SEPARATOR));
  return left !== right && placeOf(left) === placeOf(right);
}

/** A refused loan. */
export function noLoan(retryMilliseconds: number): Loan {
  return {
    isGathering: false,
    loan: 0,
    retryMilliseconds,
    share: 0,
    tokens: 0,
    validMilliseconds: 0,
  };
}
