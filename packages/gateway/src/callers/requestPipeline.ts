import type { Logger, Result, ServiceName, TimerService } from '@zincring/core';

import { Err, hash32, Ok, ZincringError } from '@zincring/core';

import type { ConfigurationFollower } from '../configuration/configurationFollower.js';
import type { ConfigurationIndex } from '../configuration/configurationIndex.js';
import type {
  GatewayRoute,
  GatewayService,
  GatewayWorkspace,
} from '../configuration/gatewayConfiguration.js';
import type { BudgetReservation, TurnBudgets } from '../programs/turnBudgets.js';
import type { KeptTurnDraft, KeptTurns } from '../programs/keptTurns.js';
import type { RotationWatch } from '../lifecycle/rotationWatch.js';
import type { WorkspaceRates } from '../limits/workspaceRates.js';
import type { AttemptParts, RunnableRequest, RunOutcome } from '../upstreams/attemptLoop.js';
import type { GatewayMetrics, RequestEnd } from '../observation/gatewayMetrics.js';
import type { AnswerSink } from './answerSink.js';
import type { RequestFacts } from './requestFacts.js';

import { AttemptLoop } from '../upstreams/attemptLoop.js';
import { TurnRecorder } from '../programs/turnRecorder.js';
import { RequestWatch } from './requestWatch.js';

/** A request as it was read from its connection. */
export interface IncomingRequest {
  readonly method: string;
  /** Path and query, as sent. */
  readonly path: string;
  readonly host: string;
  /** Flat list of names and values. */
  readonly headers: readonly string[];
  readonly facts: RequestFacts;
  /** When its headers had arrived, by the steady clock. */
  readonly receivedAt: number;
  /** Reads the body; `undefined` when the caller broke off. */
  readBody(maximumBytes: number): Promise<Result<Buffer, ZincringError> | undefined>;
  /** Calls the listener once the caller has closed its connection. */
  onCallerLeft(listener: () => void): void;
}

/** What a {@link RequestPipeline} works with. */
export interface PipelineParts extends AttemptParts {
  readonly configuration: ConfigurationFollower;
  readonly rates: WorkspaceRates;
  readonly metrics: GatewayMetrics;
  readonly budgets: TurnBudgets;
  readonly keptTurns: KeptTurns;
  readonly rotation: RotationWatch;
}

/** Where a request may go and for whom. */
interface Admission {
  readonly route: GatewayRoute;
  readonly service: GatewayService;
  readonly workspace: GatewayWorkspace | undefined;
  readonly maximumBodyBytes: number;
}

/** A request with its history and the tokens that it may hand over. */
interface PreparedTurn {
  readonly request: RunnableRequest;
  readonly draft: KeptTurnDraft | undefined;
  readonly reservation: BudgetReservation | undefined;
}

/** How long a request waits for a fresh look at the configuration, in milliseconds: a few answers of the store. */
const REFRESH_WAIT_MILLISECONDS = 150;
/** When a caller may come back to an instance without a current configuration, in seconds: other instances may have one. */
const STALE_RETRY_SECONDS = 0.03;
/** Urgency of requests at engines when the operator ranks them first; the engines' scale ends at 9. */
const FIRST_URGENCY = 1;
const LAST_URGENCY = 9;

/**
 * Takes a request from its headers to its answer: route, key, rate, history and budget, then the
 * replicas. Every step may refuse, and a refusal is final and immediate.
 *
 * @example
 * await pipeline.handle(incoming, answer);
 */
export class RequestPipeline {
  private readonly timers: TimerService;
  private readonly logger: Logger;

  public constructor(private readonly parts: PipelineParts) {
    this.timers = parts.timers;
    this.logger = parts.logger;
  }

  /** Answers one request. */
  public async handle(incoming: IncomingRequest, sink: AnswerSink): Promise<void> {
    const admission = await this.admit(incoming);
    const body = await incoming.readBody(
      admission.ok ? admission.val.maximumBodyBytes : Number.MAX_SAFE_INTEGER,
    );
    if (body === undefined) {
      sink.cut();
      return;
    }
    if (admission.err) {
      this.refuse(incoming, sink, admission.val);
      return;
    }
    if (body.err) {
      this.refuse(incoming, sink, body.val);
      return;
    }
    const watch = new RequestWatch(this.timers, incoming, admission.val.route);
    try {
      const outcome = await this.serve(incoming, admission.val, body.val, sink, watch);
      this.finish(incoming, sink, watch, outcome);
    } finally {
      watch.stop();
    }
  }

  private async admit(incoming: IncomingRequest): Promise<Result<Admission, ZincringError>> {
    const { configuration } = this.parts;
    const isFresh = configuration.isFresh() || (await this.refreshConfiguration());
    const index = configuration.current;
    if (index === undefined) {
      return Err(
        new ZincringError('instance-not-ready', { retryAfterSeconds: STALE_RETRY_SECONDS }),
      );
    }
    const admitted = admitByConfiguration(index, incoming);
    if (isFresh || (admitted.ok && admitted.val.route.isOpen && configuration.isUsable())) {
      return admitted;
    }
    return Err(
      new ZincringError('instance-not-ready', {
        detail: 'the configuration is not known to be current',
        retryAfterSeconds: STALE_RETRY_SECONDS,
      }),
    );
  }

  private async refreshConfiguration(): Promise<boolean> {
    return await this.parts.configuration.refresh(REFRESH_WAIT_MILLISECONDS);
  }

  private async serve(
    incoming: IncomingRequest,
    admission: Admission,
    body: Buffer,
    sink: AnswerSink,
    watch: RequestWatch,
  ): Promise<RunOutcome> {
    const request = this.toRunnable(incoming, admission, body, watch);
    const admitting = this.parts.rates.admit(
      admission.workspace,
      watch.signal,
      async () => await this.parts.budgets.beginsProgram(request),
    );
    // Both mostly wait for the store, but a workspace that uses more than its rate must not cost budget calls in vain.
    const isSideBySide = !this.parts.rates.isScarce(admission.workspace);
    const preparing = isSideBySide ? this.prepare(request, watch) : undefined;
    const rate = await admitting;
    if (rate.err) {
      void preparing?.then(giveUpTurn);
      return { error: rate.val, kind: 'failed' };
    }
    const prepared = await (preparing ?? this.prepare(request, watch));
    const outcome = prepared.ok
      ? await this.serveTurn(prepared.val, sink, watch)
      : ({ error: prepared.val, kind: 'failed' } as const);
    if (hasNotRun(outcome)) {
      rate.val.giveBack();
    }
    return outcome;
  }

  private async prepare(
    request: RunnableRequest,
    watch: RequestWatch,
  ): Promise<Result<PreparedTurn, ZincringError>> {
    const history = await this.parts.keptTurns.compose(request, watch.signal);
    if (history.err) {
      return history;
    }
    const composed = { ...request, body: history.val.body };
    const suspect = this.parts.crashes.check(composed);
    if (suspect !== undefined) {
      return Err(suspect);
    }
    const budget = await this.parts.budgets.reserve(request, watch.signal);
    return budget.map(reservation => ({
      draft: history.val.turn,
      request: composed,
      reservation,
    }));
  }

  private async serveTurn(
    { draft, request, reservation }: PreparedTurn,
    sink: AnswerSink,
    watch: RequestWatch,
  ): Promise<RunOutcome> {
    if (reservation?.beginsProgram === true) {
      this.parts.rates.noteBeginning();
    }
    const recorder = new TurnRecorder(reservation, draft, watch.signal);
    watch.noteAdmitted(this.timers.now());
    this.parts.metrics.admissionSeconds.observe(watch.waited / 1_000);
    const loop = new AttemptLoop(
      this.parts,
      request,
      sink,
      request.route.kind === 'streaming' ? recorder : undefined,
      watch,
    );
    try {
      return await loop.run();
    } finally {
      recorder.settle();
    }
  }

  private toRunnable(
    incoming: IncomingRequest,
    { route, service, workspace }: Admission,
    body: Buffer,
    watch: RequestWatch,
  ): RunnableRequest {
    const priority = workspace?.priority ?? route.priority;
    return {
      body,
      deadline: watch.deadline,
      facts: incoming.facts,
      headers: incoming.headers,
      method: incoming.method,
      path: incoming.path,
      route,
      service,
      urgency:
        service.engine === undefined ? undefined : Math.min(LAST_URGENCY, FIRST_URGENCY + priority),
      workspace: workspace?.name,
    };
  }

  private finish(
    incoming: IncomingRequest,
    sink: AnswerSink,
    watch: RequestWatch,
    outcome: RunOutcome,
  ): void {
    switch (outcome.kind) {
      case 'served':
        this.noteEnd(incoming, 'served', {
          replica: outcome.replica,
          runs: outcome.runs,
          status: outcome.status,
          waited: watch.waited,
        });
        return;
      case 'interrupted':
        this.noteEnd(incoming, 'interrupted', {});
        sink.cut();
        return;
      case 'failed':
        this.refuse(incoming, sink, outcome.error);
        return;
      case 'aborted':
        this.finishAborted(incoming, sink, watch, outcome.mayHaveRun);
        return;
      default:
        outcome satisfies never;
    }
  }

  private finishAborted(
    incoming: IncomingRequest,
    sink: AnswerSink,
    watch: RequestWatch,
    mayHaveRun: boolean,
  ): void {
    if (!watch.isAwaited()) {
      this.noteEnd(incoming, 'caller-left', { mayHaveRun });
      sink.cut();
      return;
    }
    if (sink.isStarted) {
      this.noteEnd(incoming, 'cut', { reason: 'deadline' });
      sink.cut();
      return;
    }
    const kind = mayHaveRun ? 'deadline-exceeded' : 'deadline-exceeded-in-queue';
    this.refuse(incoming, sink, new ZincringError(kind));
  }

  private refuse(incoming: IncomingRequest, sink: AnswerSink, error: ZincringError): void {
    const retryAfter = this.retryAfterSeconds(error);
    this.noteEnd(incoming, 'refused', {
      detail: error.detail,
      kind: error.kind,
      ran: error.ran,
      retryAfter,
      status: error.status,
    });
    if (sink.isStarted) {
      sink.cut();
      return;
    }
    const headers = this.parts.wire.ownHeaders(incoming.facts.requestId, retryAfter);
    sink.sendWhole(error.status, headers, Buffer.from(JSON.stringify(error.toReport())));
  }

  private retryAfterSeconds({ kind, retryAfterSeconds }: ZincringError): number | undefined {
    const usual = retryAfterSeconds ?? undefined;
    const isOutage = kind === 'instance-not-ready' || kind === 'store-unavailable';
    return isOutage ? this.parts.rotation.retryAfterSeconds(usual) : usual;
  }

  private noteEnd(
    incoming: IncomingRequest,
    end: RequestEnd,
    fields: Readonly<Record<string, boolean | number | string | undefined>>,
  ): void {
    const { configuration, metrics } = this.parts;
    const elapsed = this.timers.now() - incoming.receivedAt;
    metrics.requests.inc({ end, kind: String(fields['kind'] ?? 'none') });
    metrics.requestSeconds.observe({ end }, elapsed / 1_000);
    const entry = {
      ...fields,
      configurationAge: Math.round(Math.min(configuration.ageMilliseconds(), 1e9)),
      configurationVersion: configuration.current?.configuration.version,
      elapsed: Math.round(elapsed),
      event: `request-${end}`,
      program: incoming.facts.programId,
      request: incoming.facts.requestId,
    };
    if (end === 'served') {
      this.logger.info(entry, 'a request was served');
      return;
    }
    this.logger.warn(entry, 'a request was not served');
  }
}

/** Frees the tokens of a turn that will not be sent. */
function giveUpTurn(prepared: Result<PreparedTurn, ZincringError>): void {
  if (prepared.ok) {
    prepared.val.reservation?.settle(0);
  }
}

function hasNotRun(outcome: RunOutcome): boolean {
  return outcome.kind === 'failed'
    ? outcome.error.ran === 'no'
    : outcome.kind === 'aborted' && !outcome.mayHaveRun;
}

function admitByConfiguration(
  index: ConfigurationIndex,
  { facts, host, path }: IncomingRequest,
): Result<Admission, ZincringError> {
  const route = index.findRoute(host, path);
  if (route === undefined) {
    return Err(new ZincringError('not-found'));
  }
  const workspace = facts.key === undefined ? undefined : index.findWorkspace(facts.key);
  if (!route.isOpen && index.configuration.workspaces.length > 0 && workspace === undefined) {
    return Err(new ZincringError(facts.key === undefined ? 'key-missing' : 'key-rejected'));
  }
  if (facts.requestId === undefined) {
    return Err(new ZincringError('bad-request', { detail: 'the request has no id' }));
  }
  const service = index.findService(pickService(route, facts));
  if (service === undefined) {
    return Err(
      new ZincringError('upstream-unavailable', { detail: 'the service is not described' }),
    );
  }
  return Ok({
    maximumBodyBytes: index.configuration.callerLimits.maximumBodyBytes,
    route,
    service,
    workspace: route.isOpen ? undefined : workspace,
  });
}

/** Spreads requests over the services of a route by weight; a session stays with one service. */
function pickService(route: GatewayRoute, facts: RequestFacts): ServiceName {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  const point = (hash32(facts.sessionId ?? facts.requestId ?? '') / HASH_RANGE) * total;
  let passed = 0;
  for (const { service, weight } of route.services) {
    passed += weight;
    if (point < passed) {
      return service;
    }
  }
  return route.services.at(-1)?.service ?? ('' as ServiceName);
}

/** Number of values of a 32-bit hash. */
const HASH_RANGE = 2 ** 32;
