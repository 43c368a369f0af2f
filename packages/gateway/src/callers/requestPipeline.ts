import type { Logger, Result, TimerService, ZincringError } from '@zincring/core';

import { Err } from '@zincring/core';

import type { ConfigurationFollower } from '../configuration/configurationFollower.js';
import type { BudgetReservation, TurnBudgets } from '../programs/turnBudgets.js';
import type { TurnDraft, TurnStore } from '../programs/turnStore.js';
import type { PlannedStop } from '../lifecycle/plannedStop.js';
import type { ZoneOutageDetector } from '../lifecycle/zoneOutageDetector.js';
import type { WorkspaceRates } from '../limits/workspaceRates.js';
import type { ProgramAdmission, ProgramTurn } from '../upstreams/load/programAdmission.js';
import type { RunnableRequest } from '../upstreams/attemptLoop.js';
import type { AttemptLoopDependencies } from '../upstreams/attemptLoopDependencies.js';
import type { CrashTrials } from '../upstreams/crashTrials.js';
import type { RunOutcome } from '../upstreams/runOutcome.js';
import type { GatewayMetrics, RequestEnd } from '../observation/gatewayMetrics.js';
import type { Admission } from './admitByConfiguration.js';
import type { ResponseSink } from './responseSink.js';
import type { RequestFacts } from './requestFacts.js';
import type { RequestLifetime } from './requestLifetime.js';

import { AttemptLoop } from '../upstreams/attemptLoop.js';
import { computeEngineUrgency } from '../upstreams/load/engineUrgency.js';
import { hasNotRun } from '../upstreams/runOutcome.js';
import { findProgramStage } from '../programs/programStage.js';
import { TurnRecorder } from '../programs/turnRecorder.js';
import { findPriority } from './admitByConfiguration.js';
import { RequestAdmission } from './requestAdmission.js';
import { RequestLifetimes } from './requestLifetimes.js';
import { chooseAbortError, findStopRefusal } from './stopRefusals.js';

/** A request whose headers have been received. */
export interface IncomingRequest {
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly host: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly facts: RequestFacts;
  /** Whether its caller sent it before the responses to earlier ones. */
  readonly isSentAhead: boolean;
  /** Time at which its headers had arrived, on the monotonic clock in milliseconds. */
  readonly receivedAt: number;
  /** Why the instance cannot hold the request; `undefined` if it can. */
  readonly refusal: ZincringError | undefined;
  /** Lets requests that were sent behind this one wait until its caller may come back, in seconds. */
  deferFollowing(seconds: number): void;
  /** Reads the body; `undefined` if the caller disconnected before its end. */
  readBody(): Promise<Result<Buffer, ZincringError> | undefined>;
  /** Reads the body of a refused request without keeping it; `false` if the caller disconnected before its end. */
  skipBody(): Promise<boolean>;
  /** Calls the listener if the caller closes its connection before the response is complete. */
  onCallerDisconnected(listener: () => void): void;
}

/** Dependencies of a {@link RequestPipeline}. */
export interface RequestPipelineDependencies extends AttemptLoopDependencies {
  readonly configuration: ConfigurationFollower;
  readonly rates: WorkspaceRates;
  readonly metrics: GatewayMetrics;
  readonly budgets: TurnBudgets;
  readonly crashTrials: CrashTrials;
  readonly plannedStop: Pick<PlannedStop, 'allows'>;
  readonly programAdmission: ProgramAdmission;
  readonly turnStore: TurnStore;
  readonly zoneOutageDetector: ZoneOutageDetector;
}

/** A request with its history and its token reservation. */
interface PreparedTurn {
  readonly request: RunnableRequest;
  readonly draft: TurnDraft | undefined;
  readonly reservation: BudgetReservation | undefined;
}

/**
 * Handles a request from its headers to its response: route, key, rate, history and token budget,
 * then the attempts at replicas. Each step may refuse the request, which ends it immediately.
 *
 * @example
 * await pipeline.handle(incoming, sink);
 */
export class RequestPipeline {
  private readonly timers: TimerService;
  private readonly logger: Logger;
  private readonly admission: RequestAdmission;
  private readonly lifetimes: RequestLifetimes;

  public constructor(private readonly dependencies: RequestPipelineDependencies) {
    this.timers = dependencies.timers;
    this.admission = new RequestAdmission(dependencies.configuration);
    this.lifetimes = new RequestLifetimes(dependencies.timers);
    this.logger = dependencies.logger;
  }

  /** Handles one request and writes its response to the sink. */
  public async handle(incoming: IncomingRequest, sink: ResponseSink): Promise<void> {
    const admission = await this.admission.admit(incoming);
    if (admission.err) {
      if (await incoming.skipBody()) {
        this.refuse(incoming, sink, admission.val);
      } else {
        sink.abort();
      }
      return;
    }
    const body = await incoming.readBody();
    if (body === undefined) {
      sink.abort();
      return;
    }
    if (body.err) {
      this.refuse(incoming, sink, body.val);
      return;
    }
    const confirmed = await this.admission.confirm(incoming, admission.val);
    if (confirmed.err) {
      this.refuse(incoming, sink, confirmed.val);
      return;
    }
    const lifetime = this.lifetimes.begin(incoming, confirmed.val.route);
    try {
      const outcome =
        findStopRefusal(this.dependencies.plannedStop, lifetime) ??
        (await this.serve(incoming, confirmed.val, body.val, sink, lifetime));
      this.finish(incoming, sink, lifetime, outcome);
    } finally {
      this.lifetimes.end(lifetime);
    }
  }

  /** Ends all requests in flight, each with the response that its state allows. */
  public interruptAll(): void {
    this.lifetimes.interruptAll();
  }

  private async serve(
    incoming: IncomingRequest,
    admission: Admission,
    body: Buffer,
    sink: ResponseSink,
    lifetime: RequestLifetime,
  ): Promise<RunOutcome> {
    const request = this.toRunnableRequest(incoming, admission, body, lifetime);
    const held = this.dependencies.programAdmission.check(toProgramTurn(admission, request));
    if (held === undefined) {
      return await this.serveAdmitted(request, admission, sink, lifetime);
    }
    // Whether the turn starts a program is known with its reservation, so the rate is not charged before.
    const prepared = await this.prepare(request, lifetime);
    if (prepared.ok && prepared.val.reservation?.startsProgram === true) {
      const refusal = await this.dependencies.programAdmission.settle(held, lifetime.signal);
      if (refusal !== undefined) {
        releaseReservation(prepared);
        return { error: refusal, kind: 'failed' };
      }
    }
    return await this.serveAdmitted(request, admission, sink, lifetime, prepared);
  }

  /** Serves a request that may start now; it is prepared here unless it is already. */
  private async serveAdmitted(
    request: RunnableRequest,
    admission: Admission,
    sink: ResponseSink,
    lifetime: RequestLifetime,
    alreadyPrepared?: Result<PreparedTurn, ZincringError>,
  ): Promise<RunOutcome> {
    const pendingRateAdmission = this.dependencies.rates.admit(
      admission.workspace,
      lifetime.signal,
      async () => await this.dependencies.budgets.startsProgram(request),
    );
    // Both steps mostly wait for the store, so they run concurrently. For a workspace over its rate, which may be
    // refused, the budget is reserved only after admission to save calls to the store.
    const preparesConcurrently = !this.dependencies.rates.isOverRate(admission.workspace);
    const pendingTurn =
      alreadyPrepared === undefined && preparesConcurrently
        ? this.prepare(request, lifetime)
        : undefined;
    const rateAdmission = await pendingRateAdmission;
    if (rateAdmission.err) {
      void pendingTurn?.then(releaseReservation);
      if (alreadyPrepared !== undefined) {
        releaseReservation(alreadyPrepared);
      }
      return { error: rateAdmission.val, kind: 'failed' };
    }
    const prepared = alreadyPrepared ?? (await (pendingTurn ?? this.prepare(request, lifetime)));
    const outcome = prepared.ok
      ? await this.serveTurn(prepared.val, admission, sink, lifetime)
      : ({ error: prepared.val, kind: 'failed' } as const);
    if (hasNotRun(outcome)) {
      rateAdmission.val.refund();
    }
    return outcome;
  }

  private async prepare(
    request: RunnableRequest,
    lifetime: RequestLifetime,
  ): Promise<Result<PreparedTurn, ZincringError>> {
    const origin = await this.dependencies.streamOrigins.resolve(request);
    if (origin.err) {
      return origin;
    }
    const composed = await this.dependencies.turnStore.compose(request, lifetime.signal);
    if (composed.err) {
      return composed;
    }
    const requestWithHistory = {
      ...request,
      body: composed.val.body,
      softwareVersion: origin.val,
    };
    const refusal = this.dependencies.crashes.check(requestWithHistory);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    const reserved = await this.dependencies.budgets.reserve(request, lifetime.signal);
    return reserved.map(reservation => ({
      draft: composed.val.turn,
      request: requestWithHistory,
      reservation,
    }));
  }

  private async serveTurn(
    { draft, request, reservation }: PreparedTurn,
    admission: Admission,
    sink: ResponseSink,
    lifetime: RequestLifetime,
  ): Promise<RunOutcome> {
    if (reservation?.startsProgram === true) {
      this.dependencies.rates.recordProgramStart();
    }
    const endTurn = this.dependencies.programAdmission.begin(
      toProgramTurn(admission, request),
      reservation?.startsProgram === true,
    );
    const recorder = new TurnRecorder(reservation, draft, lifetime.signal);
    lifetime.recordAdmission(this.timers.now());
    this.dependencies.metrics.admissionSeconds.observe(lifetime.admissionMilliseconds / 1_000);
    const urgentRequest = { ...request, urgency: findUrgency(admission, request, reservation) };
    const observer = request.route.kind === 'streaming' ? recorder : undefined;
    const attempt = async (runnable: RunnableRequest): Promise<RunOutcome> =>
      await new AttemptLoop(this.dependencies, runnable, sink, observer, lifetime).run();
    // A stored history makes the body longer than the one that was counted while it was read.
    const releaseMemory = this.dependencies.memory.hold(
      request.route.storesTurns ? request.body.length : 0,
    );
    try {
      return (
        findStopRefusal(this.dependencies.plannedStop, lifetime) ??
        (await this.dependencies.crashTrials.run(urgentRequest, lifetime.signal, attempt))
      );
    } finally {
      releaseMemory();
      recorder.settle();
      endTurn();
    }
  }

  private toRunnableRequest(
    incoming: IncomingRequest,
    admission: Admission,
    body: Buffer,
    lifetime: RequestLifetime,
  ): RunnableRequest {
    const { permittedRegions, route, service, workspace } = admission;
    return {
      permittedRegions,
      body,
      deadline: lifetime.deadline,
      facts: incoming.facts,
      headers: incoming.headers,
      isSentAhead: incoming.isSentAhead,
      method: incoming.method,
      path: incoming.path,
      route,
      service,
      softwareVersion: undefined,
      urgency: undefined,
      workspace: workspace?.name,
    };
  }

  private finish(
    incoming: IncomingRequest,
    sink: ResponseSink,
    lifetime: RequestLifetime,
    outcome: RunOutcome,
  ): void {
    switch (outcome.kind) {
      case 'served':
        this.recordEnd(incoming, 'served', {
          ...outcome.body,
          replica: outcome.replica,
          runs: outcome.runs,
          softwareVersion: outcome.softwareVersion,
          status: outcome.status,
          waited: lifetime.admissionMilliseconds,
        });
        return;
      case 'interrupted':
        this.recordEnd(incoming, 'interrupted', {});
        sink.abort();
        return;
      case 'failed':
        this.refuse(incoming, sink, outcome.error);
        return;
      case 'aborted':
        this.finishAborted(incoming, sink, lifetime, outcome.mayHaveRun);
        return;
      default:
        outcome satisfies never;
    }
  }

  private finishAborted(
    incoming: IncomingRequest,
    sink: ResponseSink,
    lifetime: RequestLifetime,
    mayHaveRun: boolean,
  ): void {
    if (!lifetime.isCallerWaiting()) {
      this.recordEnd(incoming, 'caller-left', { mayHaveRun });
      sink.abort();
      return;
    }
    if (sink.isStarted) {
      this.recordEnd(incoming, 'cut', { reason: lifetime.isInterrupted ? 'stop' : 'deadline' });
      sink.abort();
      return;
    }
    this.refuse(incoming, sink, chooseAbortError(lifetime, mayHaveRun));
  }

  private refuse(incoming: IncomingRequest, sink: ResponseSink, error: ZincringError): void {
    const retryAfter = this.computeRetryAfterSeconds(error);
    this.recordEnd(incoming, 'refused', {
      detail: error.detail,
      kind: error.kind,
      ran: error.ran,
      retryAfter,
      status: error.status,
    });
    if (retryAfter !== undefined) {
      incoming.deferFollowing(retryAfter);
    }
    if (sink.isStarted) {
      sink.abort();
      return;
    }
    const headers = this.dependencies.headerCodec.makeErrorHeaders(
      incoming.facts.requestId,
      retryAfter,
    );
    sink.send(error.status, headers, Buffer.from(JSON.stringify(error.toReport())));
  }

  private computeRetryAfterSeconds({ kind, retryAfterSeconds }: ZincringError): number | undefined {
    const defaultSeconds = retryAfterSeconds ?? undefined;
    const isOutage =
      kind === 'instance-not-ready' || kind === 'instance-stopping' || kind === 'store-unavailable';
    return isOutage
      ? this.dependencies.zoneOutageDetector.retryAfterSeconds(defaultSeconds)
      : defaultSeconds;
  }

  private recordEnd(
    incoming: IncomingRequest,
    end: RequestEnd,
    fields: Readonly<Record<string, boolean | number | string | undefined>>,
  ): void {
    const { configuration, metrics } = this.dependencies;
    const elapsedMilliseconds = this.timers.now() - incoming.receivedAt;
    metrics.requests.inc({ end, kind: String(fields['kind'] ?? 'none') });
    metrics.requestSeconds.observe({ end }, elapsedMilliseconds / 1_000);
    const entry = {
      ...fields,
      configurationAge: Math.round(Math.min(configuration.ageMilliseconds(), 1e9)),
      configurationVersion: configuration.current?.configuration.version,
      elapsed: Math.round(elapsedMilliseconds),
      event: `request-${end}`,
      lastEventId: incoming.facts.lastEventId,
      program: incoming.facts.programId,
      request: incoming.facts.requestId,
      resumes: incoming.facts.resumedRequest,
      workspace:
        incoming.facts.key === undefined
          ? undefined
          : configuration.current?.findWorkspace(incoming.facts.key)?.name,
    };
    if (end === 'served') {
      this.logger.info(entry, 'request served');
      return;
    }
    this.logger.warn(entry, 'request not served');
  }
}

function toProgramTurn(admission: Admission, request: RunnableRequest): ProgramTurn {
  const { lowestPriority } = admission;
  return { lowestPriority, priority: findPriority(admission), request };
}

/** Rank of a turn in the queues of engines; none for calls of plain services. */
function findUrgency(
  admission: Admission,
  { facts, service }: RunnableRequest,
  reservation: BudgetReservation | undefined,
): number | undefined {
  return service.engine === undefined
    ? undefined
    : computeEngineUrgency({
        lowestPriority: admission.lowestPriority,
        priority: findPriority(admission),
        stage: findProgramStage(facts, reservation?.startsProgram ?? false),
      });
}

/** Releases the tokens reserved for a turn that will not be sent. */
function releaseReservation(prepared: Result<PreparedTurn, ZincringError>): void {
  if (prepared.ok) {
    prepared.val.reservation?.settle(0);
  }
}
