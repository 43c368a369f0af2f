export { preferredHolder, shardOf } from './shards/shardMap.js';
export type {
  LogReference,
  SessionRow,
  ShardRow,
  ShardStateReference,
} from './leases/leaseRows.js';
export { emptyShardState, parseShardRow, sessionRowKey, shardRowKey } from './leases/leaseRows.js';
export type { LeaseTerms, RenewalOutcome, SessionOptions } from './leases/session.js';
export { Session } from './leases/session.js';
export { SessionObserver } from './leases/sessionObserver.js';
export type {
  ShardLeasesOptions,
  ShardMembers,
  ShardOwner,
  ShardStanding,
} from './leases/shardLeases.js';
export { ShardLeases } from './leases/shardLeases.js';
export type { LogPosition, LogRecord } from './log/logRecord.js';
export { decodeGroup, encodeGroup, logObjectName, logPrefix } from './log/logRecord.js';
export type { LogFailure, WriteAheadLogOptions } from './log/writeAheadLog.js';
export { WriteAheadLog } from './log/writeAheadLog.js';
export { readLog } from './log/readLog.js';
export type { Heartbeat, MembershipOptions, Peer } from './membership/membership.js';
export { Membership } from './membership/membership.js';
export type { BucketSize } from './limits/tokenBucket.js';
export { TokenBucket } from './limits/tokenBucket.js';
export type {
  Change,
  ChangeOutcome,
  Head,
  VersionedChangesOptions,
} from './versions/versionedChanges.js';
export { VersionedChanges } from './versions/versionedChanges.js';
export { EscrowedLimiter } from './limits/escrowedLimiter.js';
export type { Admittance, Limiter, WorkspaceLimits } from './limits/limiter.js';
export type { LimitSeatsOptions } from './limits/limitSeats.js';
export { LimitSeats, seatRowKey } from './limits/limitSeats.js';
export type {
  BorrowerProcess,
  Loan,
  LoanClient,
  LoanKind,
  LoanRequest,
  LoanTerms,
} from './limits/loan.js';
export { borrowerName, noLoan } from './limits/loan.js';
export type { Stake } from './limits/workspaceEscrow.js';
export { WorkspaceEscrow } from './limits/workspaceEscrow.js';
export type { LimiterParts } from './limits/workspaceLimiter.js';
