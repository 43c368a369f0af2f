import type { Logger, TimerService, UpstreamId, WorkspaceName } from '@zincring/core';

import { ZincringError } from '@zincring/core';

import type { AnswerSink, StreamObserver } from '../callers/answerSink.js';
import type { RequestFacts, RequestWire } from '../callers/requestFacts.js';
import type { GatewayRoute, GatewayService } from '../configuration/gatewayConfiguration.js';
import type { GatewayMetrics } from '../observation/gatewayMetrics.js';
import type { CrashRecord } from './crashRecord.js';
import type { ReplicaEntry, ReplicaRunId } from './replica.js';
import type { ExchangeOutcome, ReplicaAnswer } from './replicaExchange.js';
import type { ReplicaPool } from './replicaPool.js';

import { readWholeBody } from './readWholeBody.js';
import { exchangeWithReplica } from './replicaExchange.js';
import { relayStream } from './streamRelay.js';

/** An admitted request, ready to be sent. */
export interface RunnableRequest {
  readonly facts: RequestFacts;
  readonly route: GatewayRoute;
  readonly service: GatewayService;
  readonly workspace: WorkspaceName | undefined;
  readonly method: string;
  readonly path: string;
  /** Flat list of the caller's headers. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** When the caller must have its answer, by the steady clock. */
  readonly deadline: number;
  readonly urgency: number | undefined;
}

/** Tells whether a request is still worth running. */
export interface RequestControl {
  /** Ends the attempt under way. */
  readonly signal: AbortSignal;
  /** Whether the caller still waits; nothing new is sent for one that has left. */
  isAwaited(): boolean;
}

/** How a request ended. */
export type RunOutcome =
  | { readonly kind: 'aborted'; readonly mayHaveRun: boolean }
  | { readonly kind: 'failed'; readonly error: ZincringError }
  | { readonly kind: 'interrupted' }
  | {
      readonly kind: 'served';
      readonly status: number;
      readonly replica: UpstreamId;
      /** Attempts that may have run, the last one included. */
      readonly runs: number;
    };

/** What {@link AttemptLoop} works with. */
export interface AttemptParts {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly pool: ReplicaPool;
  readonly wire: RequestWire;
  readonly crashes: CrashRecord;
  readonly metrics: GatewayMetrics;
}

/** Replicas that may refuse one request before its caller is told to come back: most of a small service. */
const MAXIMUM_REFUSALS = 6;
/** When a caller may come back after no replica could take its request, in seconds: about one short call. */
const UNAVAILABLE_RETRY_SECONDS = 0.15;
/** Largest answer that is held until it is whole, in bytes. */
const WHOLE_ANSWER_BYTES = 1024 * 1024;

type AttemptResult =
  | { readonly kind: 'lost'; readonly reason: string }
  | { readonly kind: 'not-run'; readonly reason: string }
  | { readonly kind: 'served'; readonly status: number };

/**
 * Sends a request to replicas until one answers. A request that may have run is sent again only
 * if its route allows it and the number of runs stays within the route's limit; one that
 * certainly did not run goes on to another replica.
 *
 * @example
 * const outcome = await new AttemptLoop(parts, request, sink, observer, control).run();
 */
export class AttemptLoop {
  private readonly excluded = new Set<ReplicaRunId>();
  /** Attempts that may have run. */
  private runs = 0;
  private refusals = 0;
  private lastEventId: string | undefined;
  private forwardedEvents = 0;

  public constructor(
    private readonly parts: AttemptParts,
    private readonly request: RunnableRequest,
    private readonly sink: AnswerSink,
    private readonly observer: StreamObserver | undefined,
    private readonly control: RequestControl,
  ) {
    this.lastEventId = request.facts.lastEventId;
  }

  /** Whether a replica may have begun to work on the request. */
  public get mayHaveRun(): boolean {
    return this.runs > 0;
  }

  /** Runs the request to its end. */
  public async run(): Promise<RunOutcome> {
    for (;;) {
      if (this.isOver()) {
        return { kind: 'aborted', mayHaveRun: this.mayHaveRun };
      }
      const entry = this.chooseReplica();
      if (entry === undefined) {
        return this.giveUp('no replica can take the request');
      }
      const result = await this.attempt(entry);
      this.parts.metrics.attempts.inc({ end: result.kind, service: this.request.service.name });
      if (result.kind === 'served') {
        return { ...result, replica: entry.id, runs: this.runs };
      }
      this.logEnd(entry, result);
      if (result.kind === 'lost' && !this.canRunAgain() && !this.isOver()) {
        return this.giveUp(result.reason);
      }
      this.excluded.add(entry.runId);
    }
  }

  private isOver(): boolean {
    return this.control.signal.aborted || !this.control.isAwaited();
  }

  private chooseReplica(): ReplicaEntry | undefined {
    if (this.refusals >= MAXIMUM_REFUSALS) {
      return undefined;
    }
    const { facts, route, service } = this.request;
    return this.parts.pool.choose({
      excluded: this.excluded,
      facts,
      isSticky: route.isSticky,
      service,
    });
  }

  private canRunAgain(): boolean {
    const { isResumable, kind, maximumAttempts } = this.request.route;
    const isRepeatable = kind === 'safe' || (kind === 'streaming' && isResumable);
    return isRepeatable && this.runs < maximumAttempts;
  }

  private giveUp(reason: string): RunOutcome {
    if (this.sink.isStarted) {
      return { kind: 'interrupted' };
    }
    const error = this.mayHaveRun
      ? new ZincringError('upstream-failed', { detail: reason })
      : new ZincringError('upstream-unavailable', {
          detail: reason,
          retryAfterSeconds: UNAVAILABLE_RETRY_SECONDS,
        });
    return { error, kind: 'failed' };
  }

  private async attempt(entry: ReplicaEntry): Promise<AttemptResult> {
    const state = this.parts.pool.loads.of(entry);
    state.inFlight++;
    this.runs++;
    try {
      const outcome = await exchangeWithReplica(this.parts.timers, state.agent, entry, {
        body: this.request.body.length === 0 ? undefined : this.request.body,
        headers: this.replicaHeaders(entry),
        method: this.request.method,
        path: this.request.path,
        signal: this.control.signal,
      });
      const result = await this.settle(entry, outcome);
      if (result.kind === 'not-run') {
        this.runs--;
        this.refusals++;
      }
      return result;
    } finally {
      state.inFlight--;
    }
  }

  private replicaHeaders(entry: ReplicaEntry): string[] {
    const { body, deadline, headers, method, urgency, workspace } = this.request;
    const hasBody = body.length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH';
    return this.parts.wire.toReplicaHeaders(headers, {
      contentLength: hasBody ? body.length : undefined,
      lastEventId: this.lastEventId,
      remainingMilliseconds: Math.max(1, Math.floor(deadline - this.parts.timers.now())),
      replicaId: entry.id,
      urgency,
      workspace,
    });
  }

  private async settle(entry: ReplicaEntry, outcome: ExchangeOutcome): Promise<AttemptResult> {
    const { loads } = this.parts.pool;
    if (outcome.kind !== 'answered') {
      if (!this.control.signal.aborted) {
        loads.noteEnd(entry, 'unreachable');
        if (outcome.kind === 'lost') {
          this.parts.crashes.note(this.request, entry);
        }
      } else if (this.control.isAwaited()) {
        loads.noteEnd(entry, 'failed');
      }
      return outcome.kind === 'lost' ? outcome : { kind: 'not-run', reason: outcome.reason };
    }
    const { answer } = outcome;
    const facts = this.parts.wire.readAnswer(answer.status, answer.headers);
    if (facts.requestId !== this.request.facts.requestId && !facts.isNotExecuted) {
      answer.discard();
      return { kind: 'lost', reason: 'the answer belongs to another request' };
    }
    if (facts.isNotExecuted) {
      answer.body.resume();
      loads.noteEnd(entry, answer.status === 421 ? 'misdirected' : 'full');
      return { kind: 'not-run', reason: `the replica refused with ${String(answer.status)}` };
    }
    if (isSuccess(answer.status) && (!facts.isSealed || facts.isEncoded)) {
      answer.discard();
      return { kind: 'lost', reason: 'the answer does not bear the seal of the replica' };
    }
    loads.noteEnd(entry, answer.status >= 500 ? 'failed' : 'answered');
    return await this.takeAnswer(entry, answer);
  }

  private async takeAnswer(entry: ReplicaEntry, answer: ReplicaAnswer): Promise<AttemptResult> {
    if (this.request.route.kind === 'streaming' && isSuccess(answer.status)) {
      this.parts.pool.noteHome(this.request.facts, entry);
      return await this.relay(answer);
    }
    const whole = await readWholeBody(answer, WHOLE_ANSWER_BYTES);
    if (whole === undefined) {
      return { kind: 'lost', reason: 'the answer broke off' };
    }
    if (answer.status >= 500 && (this.canRunAgain() || this.sink.isStarted)) {
      return { kind: 'lost', reason: `the replica failed with ${String(answer.status)}` };
    }
    if (this.sink.isStarted) {
      return { kind: 'lost', reason: `the stream cannot go on after ${String(answer.status)}` };
    }
    if (this.control.signal.aborted) {
      return { kind: 'lost', reason: 'the caller left or the time ran out' };
    }
    const headers = this.parts.wire.toCallerHeaders(answer.headers);
    this.sink.sendWhole(answer.status, headers, whole);
    return { kind: 'served', status: answer.status };
  }

  private async relay(answer: ReplicaAnswer): Promise<AttemptResult> {
    const end = await relayStream(answer, {
      onEvent: async event => {
        if (!this.sink.isStarted) {
          this.sink.open(answer.status, this.parts.wire.toCallerHeaders(answer.headers));
        }
        this.lastEventId = event.id ?? this.lastEventId;
        this.forwardedEvents++;
        this.observer?.onEvent(event.data);
        await this.sink.write(event.bytes);
      },
      signal: this.control.signal,
    });
    if (end === 'broken') {
      return { kind: 'lost', reason: `broke off after ${String(this.forwardedEvents)} events` };
    }
    if (!((await this.observer?.beforeEnd()) ?? true)) {
      return { kind: 'lost', reason: 'the turn could not be kept' };
    }
    if (!this.sink.isStarted) {
      this.sink.open(answer.status, this.parts.wire.toCallerHeaders(answer.headers));
    }
    this.sink.end();
    return { kind: 'served', status: answer.status };
  }

  private logEnd(entry: ReplicaEntry, result: AttemptResult & { readonly reason?: string }): void {
    this.parts.logger.warn(
      {
        event: result.kind === 'lost' ? 'attempt-lost' : 'attempt-refused',
        events: this.forwardedEvents,
        reason: result.reason,
        refusals: this.refusals,
        replica: entry.id,
        request: this.request.facts.requestId,
        runs: this.runs,
      },
      'an attempt did not serve the request',
    );
  }
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
