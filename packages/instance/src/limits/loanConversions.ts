import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Loan, LoanKind, LoanRequest } from '@zincring/coordination';
import type {
  BorrowRequest,
  BorrowRequestSchema,
  BorrowResponse,
  BorrowResponseSchema,
} from '@zincring/protocol';

import { LoanKind as LoanKindMessage } from '@zincring/protocol';

const kindToMessage: Readonly<Record<LoanKind, LoanKindMessage>> = {
  settle: LoanKindMessage.SETTLE,
  share: LoanKindMessage.SHARE,
  tokens: LoanKindMessage.TOKENS,
};

const kindFromMessage: Readonly<Record<LoanKindMessage, LoanKind>> = {
  [LoanKindMessage.SETTLE]: 'settle',
  [LoanKindMessage.SHARE]: 'share',
  [LoanKindMessage.TOKENS]: 'tokens',
  [LoanKindMessage.UNSPECIFIED]: 'tokens',
};

/** Converts a loan request to be sent to another instance. */
export function loanRequestToMessage(
  request: LoanRequest,
): MessageInitShape<typeof BorrowRequestSchema> {
  return {
    borrower: request.borrower,
    burst: request.size.burst,
    kind: kindToMessage[request.kind],
    loan: BigInt(request.loanId),
    rate: request.size.rate,
    spentLoans: request.spentLoans.map(BigInt),
    tokens: request.tokens,
    workspace: request.workspace,
  };
}

/** Converts a loan request received from another instance. */
export function loanRequestFromMessage(message: BorrowRequest): LoanRequest {
  return {
    borrower: message.borrower,
    kind: kindFromMessage[message.kind],
    loanId: Number(message.loan),
    size: { burst: message.burst, rate: message.rate },
    spentLoans: message.spentLoans.map(Number),
    tokens: message.tokens,
    workspace: message.workspace,
  };
}

/** Converts a loan to be sent to its borrower. */
export function loanToMessage(loan: Loan): MessageInitShape<typeof BorrowResponseSchema> {
  return {
    gathering: loan.isGathering,
    loan: BigInt(loan.loanId),
    retryMilliseconds: loan.retryMilliseconds,
    share: loan.share,
    tokens: loan.tokens,
    validMilliseconds: loan.validMilliseconds,
  };
}

/** Converts a loan received from its lender. */
export function loanFromMessage(message: BorrowResponse): Loan {
  return {
    isGathering: message.gathering,
    loanId: Number(message.loan),
    retryMilliseconds: message.retryMilliseconds,
    share: message.share,
    tokens: message.tokens,
    validMilliseconds: message.validMilliseconds,
  };
}
