export type * from './ids/brand.js';
export type * from './ids/identifiers.js';
export { isIdentifier, parseProgramId } from './ids/identifiers.js';
export type { ErrorDescriptor, ErrorKind, Ran } from './errors/errorKinds.js';
export { allErrorKinds, describeErrorKind, isErrorKind } from './errors/errorKinds.js';
export type { ErrorReport, ResumePoint, ZincringErrorOptions } from './errors/zincringError.js';
export { toZincringError, ZincringError } from './errors/zincringError.js';
export { Err, Ok } from './result/result.js';
export type { Result } from './result/result.js';
export { BodyContent } from './http/bodyContent.js';
export { BytePacer } from './http/bytePacer.js';
export { discardBody } from './http/discardBody.js';
export { endsWithConnection } from './http/endsWithConnection.js';
export { failWithConnection } from './http/failWithConnection.js';
export type { IntakeTurnsOptions, WaitingIntake } from './http/intakeTurns.js';
export { IntakeTurns } from './http/intakeTurns.js';
export type { ResponseObserver } from './http/responseIntake.js';
export { ResponseTurns } from './http/responseTurns.js';
export type { ExchangeHandlers, ResponseReading } from './http/runExchange.js';
export { runExchange } from './http/runExchange.js';
export { probeConnection, type ProbeOutcome } from './http/probeConnection.js';
export type { SessionCheckOptions } from './http2/sessionManager.js';
export { SessionManager } from './http2/sessionManager.js';
export type { TimerService, TimerSubscription } from './time/timerService.js';
export { sleep } from './time/timerService.js';
export { SystemTimerService } from './time/systemTimerService.js';
export { ManualTimerService } from './time/manualTimerService.js';
export type { CspGenerator } from './processes/channel.js';
export { Channel, settle, startProcess } from './processes/channel.js';
export {
  emptyHistoryDigest,
  extendHistoryDigest,
  hash32,
  hashKey,
  isSameKeyHash,
  sha256Hex,
} from './hashing/hash.js';
export type { LogDestination, LogFields, Logger, LogLevel } from './logging/logger.js';
export { BackgroundOutput, createBackgroundOutput } from './logging/backgroundOutput.js';
export { createLogger, failureText, silentLogger } from './logging/logger.js';
export { redactSecrets } from './logging/redactSecrets.js';
export type { ProcessSignalOptions } from './signals/handleProcessSignals.js';
export { handleProcessSignals } from './signals/handleProcessSignals.js';
export type { Metrics, MetricTags, StatsdOptions } from './metrics/metrics.js';
export { createStatsdMetrics, discardingMetrics } from './metrics/metrics.js';
export type {
  CounterName,
  GaugeName,
  MetricDescriptor,
  MetricName,
  MetricType,
  TagsOf,
  TimingName,
} from './metrics/metricTable.js';
export { allMetricNames, describeMetric } from './metrics/metricTable.js';
