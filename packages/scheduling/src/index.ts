export type {
  PushOutcome,
  QueueItem,
  RunnablePredicate,
  ShareStanding,
  WorkId,
  WorkQueue,
} from './queue/workQueue.js';
export type { FairWorkQueueOptions } from './queue/fairWorkQueue.js';
export { FairWorkQueue } from './queue/fairWorkQueue.js';
export type { AttainedServiceOptions, ProgramOrder } from './queue/programOrder.js';
export { AttainedServiceOrder, defaultAttainedServiceOptions } from './queue/programOrder.js';
export type { HeapEntry } from './queue/lazyHeap.js';
export { LazyHeap } from './queue/lazyHeap.js';
export type { PrefixChain, PrefixDigest, PromptPrefix } from './replicas/prefixChain.js';
export type {
  CacheChange,
  CapacityPredicate,
  DispatchEnd,
  DispatchOutcome,
  LoadReport,
  Placement,
  PlacementRequest,
  ReplicaChooser,
  ReplicaDescription,
} from './replicas/replicaChooser.js';
export type { CostReplicaChooserOptions } from './replicas/costReplicaChooser.js';
export { CostReplicaChooser } from './replicas/costReplicaChooser.js';
export type { ReplicaIncarnation } from './replicas/prefixIndex.js';
export { PrefixIndex } from './replicas/prefixIndex.js';
export { ReplicaLoad } from './replicas/replicaLoad.js';
export type { ConcurrencyWindowOptions } from './windows/concurrencyWindow.js';
export { ConcurrencyWindow } from './windows/concurrencyWindow.js';
export type { RetryBudgetOptions } from './retries/retryBudget.js';
export { RetryBudget } from './retries/retryBudget.js';
export type {
  BodyDigest,
  CrashId,
  QuarantineOptions,
  UpstreamCrash,
} from './retries/quarantine.js';
export { defaultQuarantineOptions, Quarantine } from './retries/quarantine.js';
export { callCost } from './cost/callCost.js';
export type { EnginePriorityInput } from './priority/enginePriority.js';
export { enginePriority } from './priority/enginePriority.js';
export type { RemoteUseListener, WorkspaceTotal } from './queue/workspaceUse.js';
export { WorkspaceUse } from './queue/workspaceUse.js';
export type {
  Dispatch,
  DispatchReport,
  ScheduledItem,
  ServiceScheduler,
  WindowedServiceSchedulerOptions,
  WindowStatus,
} from './service/serviceScheduler.js';
export { WindowedServiceScheduler } from './service/serviceScheduler.js';
export type { LearnedCostOptions, SampleOptions } from './engines/costOptions.js';
export { defaultLearnedCostOptions } from './engines/costOptions.js';
export type { EngineStanding } from './engines/expectedTurn.js';
export { expectTurnMilliseconds } from './engines/expectedTurn.js';
export { scoreRendezvous } from './engines/rendezvousScore.js';
export type { SlownessVerdict } from './engines/replicaSlowness.js';
export { ReplicaSlowness } from './engines/replicaSlowness.js';
export { RobustMean } from './engines/robustMean.js';
export type { CostEstimate, PromptExpectation } from './engines/serviceCosts.js';
export { ServiceCosts } from './engines/serviceCosts.js';
export type {
  AdmissionDecision,
  AdmissionPolicy,
  AdmissionReason,
  AdmissionRefusal,
  AdmissionRequest,
  ServiceLoad,
  WorkStage,
} from './admission/admissionPolicy.js';
export { AdmittedShare } from './admission/admittedShare.js';
export type { CostAdmissionOptions } from './admission/costAdmission.js';
export { CostAdmission, defaultCostAdmissionOptions } from './admission/costAdmission.js';
export { ProgramSizeEstimator } from './admission/programSizeEstimator.js';
export { ProgramWork } from './admission/programWork.js';
export type {
  WorkspaceSharesDependencies,
  WorkspaceStanding,
  WorkspaceTurnCounts,
} from './admission/workspaceShares.js';
export { WorkspaceShares } from './admission/workspaceShares.js';
