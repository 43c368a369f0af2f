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
  ShardLease,
  ShardOwner,
  ShardLeaseStatus,
  ShardWriteFailure,
} from './leases/shardLease.js';
export type { ShardLeasesOptions, ShardMembers } from './leases/shardLeases.js';
export { ShardLeases } from './leases/shardLeases.js';
export type { LogPosition, LogRecord } from './log/logRecord.js';
export {
  decodeGroup,
  encodeGroup,
  logObjectName,
  logPrefix,
  parseLogObjectName,
} from './log/logRecord.js';
export type { LogFailure, QueuedRecord, WriteAheadLogOptions } from './log/writeAheadLog.js';
export { WriteAheadLog } from './log/writeAheadLog.js';
export { LogReader } from './log/logReader.js';
export type { LogSweeperOptions } from './log/logSweeper.js';
export { LogSweeper } from './log/logSweeper.js';
export type { Heartbeat, MembershipOptions, Peer } from './membership/membership.js';
export { Membership } from './membership/membership.js';
export type { BucketSize } from './limits/tokenBucket.js';
export { TokenBucket } from './limits/tokenBucket.js';
export type {
  Change,
  ChangeOrigin,
  ProposedChange,
  Snapshot,
  Update,
  UpdateRequest,
} from './versions/change.js';
export { applyChanges } from './versions/change.js';
export type { Head } from './versions/changeRows.js';
export type {
  ChangeOutcome,
  HistoryRequest,
  VersionedChangesOptions,
} from './versions/versionedChanges.js';
export { VersionedChanges } from './versions/versionedChanges.js';
export { EscrowedLimiter } from './limits/escrowedLimiter.js';
export type { AdmissionDecision, Limiter, WorkspaceLimits } from './limits/limiter.js';
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
export type { TimedShare } from './limits/workspaceEscrow.js';
export { WorkspaceEscrow } from './limits/workspaceEscrow.js';
export type { LimiterDependencies } from './limits/workspaceLimiter.js';
