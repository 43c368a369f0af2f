import type { Region, WorkspaceName } from '@zincring/core';

import { discardBody, sleep, ZincringError } from '@zincring/core';

import type { ResponseSink, StreamObserver } from '../callers/responseSink.js';
import type { EventGroup } from '../callers/eventSplitter.js';
import type { RequestFacts } from '../callers/requestFacts.js';
import type { GatewayRoute, GatewayService } from '../configuration/gatewayConfiguration.js';
import type { AttemptLoopDependencies } from './attemptLoopDependencies.js';
import type { AdmittedReplica } from './chooseAdmittedReplica.js';
import type { ExchangeTiming } from './load/exchangeTiming.js';
import type { ReplicaEntry, ReplicaRunId, SoftwareVersion } from './replica.js';
import type { ReplicaResponse, UnansweredExchange } from './replicaExchange.js';
import type { IdentifiedOutcome, ResponseIdentity } from './responseIdentity.js';
import type { ForwardedBody, RunOutcome } from './runOutcome.js';

import { chooseAdmittedReplica } from './chooseAdmittedReplica.js';
import { promisesNotRun } from './promisesNotRun.js';
import { readResponseBody } from './readResponseBody.js';
import { describeIdentity } from './responseIdentity.js';
import { describeHead, isEventStream, relayStream } from './streamRelay.js';

/** An admitted request that is ready to be sent to a replica. */
export interface RunnableRequest {
  readonly facts: RequestFacts;
  readonly route: GatewayRoute;
  readonly service: GatewayService;
  readonly workspace: WorkspaceName | undefined;
  readonly method: string;
  readonly path: string;
  /** Headers of the caller as a flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether its caller sent it before the responses to earlier ones; it then leaves places to others. */
  readonly isSentAhead: boolean;
  /** Deadline of the response to the caller, on the monotonic clock, in milliseconds. */
  readonly deadline: number;
  readonly urgency: number | undefined;
  /** Version at which a stream that the caller takes up goes on; `undefined` for other requests. */
  readonly softwareVersion: SoftwareVersion | undefined;
  /** Regions whose replicas may get the request; all may if absent. */
  readonly permittedRegions?: ReadonlySet<Region> | undefined;
}

/** Cancellation state of a running request. */
export interface RequestControl {
  /** Aborts the attempt in progress. */
  readonly signal: AbortSignal;
  /** Whether the caller is still waiting; no further attempt is made for a caller that has disconnected. */
  isCallerWaiting(): boolean;
}

/** Number of refusals by replicas after which the caller is asked to retry later: most replicas of a small service. */
const MAXIMUM_REFUSALS = 6;
/** Retry delay for callers whose request no replica accepted, in milliseconds: about the length of a short call. */
const UNAVAILABLE_RETRY_AFTER_MILLISECONDS = 150;
/** Maximum wait for a replica that limits its rate, in milliseconds, and as a share of the time left to the request. */
const MAXIMUM_PERMIT_WAIT = { milliseconds: 400, share: 0.25 };
/** Status of a server that is not the intended replica. */
const STATUS_MISDIRECTED = 421;
/** Maximum size of a response that is buffered until it is complete, in bytes. */
const MAXIMUM_BUFFERED_RESPONSE_BYTES = 1024 * 1024;

type AttemptResult =
  | {
      readonly kind: 'lost' | 'not-run';
      readonly reason: string;
      readonly identity?: ResponseIdentity | undefined;
    }
  | { readonly kind: 'served'; readonly status: number; readonly body: ForwardedBody };

/**
 * Sends a request to replicas until one responds. A request that may have run is sent again only
 * if its route allows it and the number of runs stays within the limit of the route; a request that
 * certainly did not run is sent to another replica.
 *
 * @example
 * const outcome = await new AttemptLoop(dependencies, request, sink, observer, control).run();
 */
export class AttemptLoop {
  private readonly excluded = new Set<ReplicaRunId>();
  /** Number of attempts that may have run. */
  private possibleRuns = 0;
  private refusals = 0;
  private lastEventId: string | undefined;
  private forwardedEvents = 0;
  /** Measures the current attempt. */
  private timing: ExchangeTiming | undefined;
  /** Version of the replica that sent the first event: what two versions write does not fit together. */
  private softwareVersion: SoftwareVersion | undefined;
  /** Whether the version can be found by whoever goes on with the stream. */
  private isVersionRecorded: boolean;

  public constructor(
    private readonly dependencies: AttemptLoopDependencies,
    private readonly request: RunnableRequest,
    private readonly sink: ResponseSink,
    private readonly observer: StreamObserver | undefined,
    private readonly control: RequestControl,
  ) {
    this.lastEventId = request.facts.lastEventId;
    this.softwareVersion = request.softwareVersion;
    this.isVersionRecorded = request.softwareVersion !== undefined;
  }

  /** Whether a replica may have started to process the request. */
  public get mayHaveRun(): boolean {
    return this.possibleRuns > 0;
  }

  /** Attempts the request until it is served, cancelled or failed. */
  public async run(): Promise<RunOutcome> {
    for (;;) {
      if (this.isCancelled()) {
        return { kind: 'aborted', mayHaveRun: this.mayHaveRun };
      }
      const admitted = await this.admitToReplica();
      if (admitted.kind === 'none') {
        return this.giveUp(this.describeLackOfReplicas(), admitted.retryAfterMilliseconds);
      }
      if (this.isCancelled()) {
        return { kind: 'aborted', mayHaveRun: this.mayHaveRun };
      }
      const { entry } = admitted;
      const result = await this.attempt(entry);
      this.dependencies.metrics.attempts.inc({
        end: result.kind,
        service: this.request.service.name,
      });
      if (result.kind === 'served') {
        return {
          ...result,
          replica: entry.id,
          runs: this.possibleRuns,
          softwareVersion: entry.softwareVersion,
        };
      }
      this.logUnservedAttempt(entry, result);
      if (result.kind === 'lost' && !this.canRunAgain() && !this.isCancelled()) {
        return this.giveUp(result.reason);
      }
      this.excluded.add(entry.runId);
    }
  }

  private describeLackOfReplicas(): string {
    if (this.request.permittedRegions === undefined) {
      return 'no replica can take the request';
    }
    this.dependencies.metrics.regionRefusals.inc();
    return 'no replica in the permitted regions can take the request';
  }

  private isCancelled(): boolean {
    return this.control.signal.aborted || !this.control.isCallerWaiting();
  }

  /** Chooses a replica and waits until the request may be sent to it. */
  private async admitToReplica(): Promise<AdmittedReplica> {
    if (this.refusals >= MAXIMUM_REFUSALS) {
      return { kind: 'none', retryAfterMilliseconds: undefined };
    }
    const { permits, pool, streamOrigins, timers } = this.dependencies;
    const { permittedRegions, deadline, facts, route, service } = this.request;
    const poolRequest = {
      permittedRegions,
      excluded: this.excluded,
      facts,
      isSentAhead: this.request.isSentAhead,
      isSticky: route.isSticky,
      service,
      softwareVersion: this.softwareVersion ?? streamOrigins.findPreferredVersion(this.request),
    };
    const maximumWait = Math.min(
      MAXIMUM_PERMIT_WAIT.milliseconds,
      (deadline - timers.now()) * MAXIMUM_PERMIT_WAIT.share,
    );
    const admitted = await chooseAdmittedReplica(pool, permits, poolRequest, maximumWait);
    if (admitted.kind === 'admitted' && admitted.delayMilliseconds > 0) {
      await sleep(timers, admitted.delayMilliseconds, this.control.signal);
    }
    return admitted;
  }

  /** Whether the request may run again if it may have run. */
  private get isRepeatable(): boolean {
    const { isResumable, kind } = this.request.route;
    return kind === 'safe' || (kind === 'streaming' && isResumable);
  }

  private canRunAgain(): boolean {
    return this.isRepeatable && this.possibleRuns < this.request.route.maximumAttempts;
  }

  private giveUp(
    reason: string,
    retryAfterMilliseconds = UNAVAILABLE_RETRY_AFTER_MILLISECONDS,
  ): RunOutcome {
    if (this.sink.isStarted) {
      return { kind: 'interrupted' };
    }
    const error = this.mayHaveRun
      ? new ZincringError('upstream-failed', { detail: reason })
      : new ZincringError('upstream-unavailable', {
          detail: reason,
          retryAfterSeconds: Math.ceil(retryAfterMilliseconds) / 1_000,
        });
    return { error, kind: 'failed' };
  }

  private async attempt(entry: ReplicaEntry): Promise<AttemptResult> {
    const { crashes, engineLoads, pool, timers } = this.dependencies;
    const load = pool.loads.findOrAddState(entry);
    const { facts, route, service } = this.request;
    const endTurn = service.engine && engineLoads.begin(service.name);
    const prompt = pool.expectPrompt(facts, entry);
    this.timing = pool.costs.begin(entry, { kind: route.name, prompt });
    load.inFlight++;
    this.possibleRuns++;
    const sentAt = timers.now();
    try {
      const outcome = await this.dependencies.transport.exchange(entry, {
        permittedRegions: this.request.permittedRegions,
        body: this.request.body.length === 0 ? undefined : this.request.body,
        headers: this.makeReplicaHeaders(entry),
        isRepeatable: this.isRepeatable,
        method: this.request.method,
        path: this.request.path,
        requestId: facts.requestId,
        signal: this.control.signal,
      });
      const result = await this.evaluateOutcome(entry, outcome);
      const isAborted = this.control.signal.aborted;
      crashes.recordEnd(this.request, { end: result.kind, entry, isAborted, outcome, sentAt });
      if (result.kind === 'not-run') {
        this.possibleRuns--;
        this.refusals++;
      }
      return result;
    } finally {
      load.inFlight--;
      endTurn?.();
    }
  }

  private makeReplicaHeaders(entry: ReplicaEntry): string[] {
    const { body, deadline, headers, method, urgency, workspace } = this.request;
    const hasBody = body.length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH';
    return this.dependencies.headerCodec.toReplicaHeaders(headers, {
      contentLength: hasBody ? body.length : undefined,
      lastEventId: this.lastEventId,
      remainingMilliseconds: Math.max(1, Math.floor(deadline - this.dependencies.timers.now())),
      replicaId: entry.id,
      urgency,
      workspace,
    });
  }

  private async evaluateOutcome(
    entry: ReplicaEntry,
    outcome: IdentifiedOutcome,
  ): Promise<AttemptResult> {
    const { loads } = this.dependencies.pool;
    if (outcome.kind !== 'answered') {
      this.recordUnanswered(entry, outcome);
      return {
        identity: outcome.foreignResponse,
        kind: outcome.kind === 'not-sent' ? 'not-run' : 'lost',
        reason: outcome.reason,
      };
    }
    const { facts, response } = outcome;
    this.dependencies.announcements.record(entry, response.status, facts);
    if (facts.isNotExecuted) {
      discardBody(this.dependencies.timers, response.body);
      loads.recordEnd(entry, response.status === STATUS_MISDIRECTED ? 'misdirected' : 'full');
      return {
        identity: describeIdentity(response, facts),
        kind: 'not-run',
        reason: `the replica refused with ${String(response.status)}`,
      };
    }
    if (isSuccess(response.status) && (!facts.hasServerStamp || facts.isEncoded)) {
      response.discard();
      return { kind: 'lost', reason: 'the answer does not bear the seal of the replica' };
    }
    loads.recordEnd(entry, response.status >= 500 ? 'failed' : 'answered');
    this.timing?.recordStatus(response.status);
    if (!this.isRepeatable && promisesNotRun(response.status)) {
      discardBody(this.dependencies.timers, response.body);
      return {
        identity: describeIdentity(response, facts),
        kind: 'lost',
        reason: `the replica answered ${String(response.status)} without a guarantee that nothing ran`,
      };
    }
    return await this.forwardResponse(entry, response);
  }

  /** Records a failed exchange against its replica, unless the path to it may have failed. */
  private recordUnanswered(entry: ReplicaEntry, { isPathFault, kind }: UnansweredExchange): void {
    const { pool } = this.dependencies;
    if (isPathFault || kind === 'foreign') {
      return;
    }
    if (this.control.signal.aborted) {
      this.timing?.abandon();
      if (this.control.isCallerWaiting()) {
        pool.loads.recordEnd(entry, 'failed');
      }
      return;
    }
    pool.loads.recordEnd(entry, 'unreachable');
  }

  private async forwardResponse(
    entry: ReplicaEntry,
    response: ReplicaResponse,
  ): Promise<AttemptResult> {
    if (this.sink.isStarted && !isEventStream(response)) {
      discardBody(this.dependencies.timers, response.body);
      return { kind: 'lost', reason: `the stream cannot go on after ${describeHead(response)}` };
    }
    if (this.request.route.kind === 'streaming' && isSuccess(response.status)) {
      this.dependencies.pool.recordReplica(this.request.facts, entry);
      return await this.relayResponse(entry, response);
    }
    const { pacer, responseMemory: memory, timers } = this.dependencies;
    const body = await readResponseBody(response, {
      maximumBytes: MAXIMUM_BUFFERED_RESPONSE_BYTES,
      memory,
      pacer,
      signal: this.control.signal,
      timers,
    });
    if (body === undefined) {
      return { kind: 'lost', reason: describeBreak('the answer broke off', response) };
    }
    if (response.status >= 500 && this.canRunAgain()) {
      return { kind: 'lost', reason: `the replica failed with ${String(response.status)}` };
    }
    if (this.control.signal.aborted) {
      return { kind: 'lost', reason: 'the caller left or the time ran out' };
    }
    const headers = this.dependencies.headerCodec.toCallerHeaders(response.headers);
    this.sink.send(response.status, headers, body, response.framing);
    return this.describeServed(response);
  }

  private async relayResponse(
    entry: ReplicaEntry,
    response: ReplicaResponse,
  ): Promise<AttemptResult> {
    const end = await relayStream(response, {
      onEvents: async group => {
        group.events.forEach(() => this.timing?.recordEvent());
        if (!(await this.recordVersion(entry))) {
          return false;
        }
        await this.forwardEvents(response, group);
        if (group.events.length > 0) {
          this.timing?.recordForwarded();
        }
        return true;
      },
      signal: this.control.signal,
    });
    if (end === 'stopped') {
      return { kind: 'lost', reason: 'the version of the stream could not be recorded' };
    }
    if (end === 'broken') {
      const reason = `broke off after ${String(this.forwardedEvents)} events`;
      return { kind: 'lost', reason: describeBreak(reason, response) };
    }
    if (!((await this.observer?.beforeEnd()) ?? true)) {
      return { kind: 'lost', reason: 'the turn could not be kept' };
    }
    this.startStream(response);
    this.sink.end();
    return this.describeServed(response);
  }

  private async forwardEvents(
    response: ReplicaResponse,
    { bytes, events }: EventGroup,
  ): Promise<void> {
    this.startStream(response);
    for (const { data, id } of events) {
      this.observer?.onEvent(data);
      this.lastEventId = id ?? this.lastEventId;
    }
    this.forwardedEvents += events.length;
    await this.sink.write(bytes);
  }

  /** Binds the stream to the version of its first event. A record that failed may still take effect. */
  private async recordVersion(entry: ReplicaEntry): Promise<boolean> {
    if (!this.isVersionRecorded) {
      this.softwareVersion = entry.softwareVersion;
      this.isVersionRecorded = await this.dependencies.streamOrigins.record(this.request, entry);
    }
    return this.isVersionRecorded;
  }

  /** Writes the head of the first replica's response; the streams of further ones continue it. */
  private startStream({ headers, status }: ReplicaResponse): void {
    if (!this.sink.isStarted) {
      const callerHeaders = this.dependencies.headerCodec.toCallerHeaders(headers);
      this.sink.startStream(status, callerHeaders);
    }
  }

  private describeServed({ framing, status }: ReplicaResponse): AttemptResult {
    if (isSuccess(status)) {
      this.timing?.complete();
    }
    return { body: { events: this.forwardedEvents, framing }, kind: 'served', status };
  }

  private logUnservedAttempt(
    entry: ReplicaEntry,
    result: Exclude<AttemptResult, { readonly kind: 'served' }>,
  ): void {
    this.dependencies.logger.warn(
      {
        ...result.identity,
        event: result.kind === 'lost' ? 'attempt-lost' : 'attempt-refused',
        events: this.forwardedEvents,
        reason: result.reason,
        refusals: this.refusals,
        replica: entry.id,
        request: this.request.facts.requestId,
        runs: this.possibleRuns,
        softwareVersion: entry.softwareVersion,
      },
      'an attempt did not serve the request',
    );
  }
}

function describeBreak(reason: string, { connectionFailure, framing }: ReplicaResponse): string {
  const failure = connectionFailure() ?? 'its connection was closed';
  return `${reason} (framing ${framing}): ${failure}`;
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
