import type { AvailabilityZone, IncarnationId, UpstreamId } from '@zincring/core';
import type { Dispatch, RetryBudget, ServiceScheduler, WorkId } from '@zincring/scheduling';

import { callCost, WorkspaceUse } from '@zincring/scheduling';

import type { EventQueue } from './eventQueue.js';
import type { Measurements } from './measurements.js';
import type { SimulatedCall, SimulatedReplica } from './simulatedCall.js';

/** A replica with its service and availability zone. */
export interface PlacedReplica {
  readonly id: UpstreamId;
  readonly zone: AvailabilityZone;
  readonly service: SimulatedCall['service'];
  readonly upstream: SimulatedReplica;
}

/** Options of a {@link SimulatedInstance}. */
export interface SimulatedInstanceOptions {
  readonly id: IncarnationId;
  readonly zone: AvailabilityZone;
  readonly events: EventQueue;
  readonly measurements: Measurements;
  readonly schedulers: Readonly<Record<SimulatedCall['service'], ServiceScheduler<SimulatedCall>>>;
  readonly replicas: ReadonlyMap<UpstreamId, PlacedReplica>;
  /** `undefined` where retries are not limited. */
  readonly retryBudget: RetryBudget | undefined;
  /** One-way latency between availability zones, in milliseconds. */
  readonly zoneMilliseconds: number;
}

/** Delay after which a caller sends a refused call again, in milliseconds. */
const RETRY_AFTER_MILLISECONDS = 2_000;
const WITHIN_ZONE_LATENCY_MILLISECONDS = 0.2;

/** Simulates an entry instance: runs the real schedulers; sending a call takes virtual time. */
export class SimulatedInstance {
  public readonly workspaceUse: WorkspaceUse;
  private readonly scheduledWakes = new Map<SimulatedCall['service'], number>();
  private resubmissionCount = 0;

  public constructor(public readonly options: SimulatedInstanceOptions) {
    this.workspaceUse = new WorkspaceUse((workspace, tokens) => {
      options.schedulers.model.observeRemoteUse(workspace, tokens);
    });
  }

  /** Submits a call of a program; a refused call is submitted again later. */
  public submit(call: SimulatedCall): void {
    const { events, measurements, retryBudget, schedulers } = this.options;
    if (schedulers[call.service].submit(call, events.now) === 'accepted') {
      retryBudget?.recordFirstAttempt();
      this.dispatchReady(call.service);
      return;
    }
    measurements.refusalsWithinRate += measurements.isWithinRate(call.workspace) ? 1 : 0;
    this.scheduleResend(call);
  }

  /** Sends all calls that the scheduler of a service allows now, and schedules its next wake-up. */
  public dispatchReady(service: SimulatedCall['service']): void {
    const { events, schedulers } = this.options;
    const scheduler = schedulers[service];
    let next = scheduler.next(events.now);
    while (next !== undefined) {
      this.send(next);
      next = scheduler.next(events.now);
    }
    this.scheduleWake(service, scheduler.nextWakeAt(events.now));
  }

  private scheduleWake(service: SimulatedCall['service'], at: number | undefined): void {
    const { events } = this.options;
    const scheduled = this.scheduledWakes.get(service) ?? -Infinity;
    const isScheduled = scheduled > events.now && scheduled <= (at ?? Infinity);
    if (at === undefined || isScheduled) {
      return;
    }
    this.scheduledWakes.set(service, at);
    events.after(at - events.now, () => {
      this.dispatchReady(service);
    });
  }

  private send({ item, placement, priority }: Dispatch<SimulatedCall>): void {
    const { events, measurements, replicas } = this.options;
    const replica = replicas.get(placement.replica);
    if (replica === undefined) {
      return;
    }
    const latencyMilliseconds = this.latencyTo(replica);
    if (item.service === 'model' && measurements.isWithinRate(item.workspace)) {
      measurements.queueWaitMilliseconds.add(events.now - item.enqueuedAt);
    }
    const afterLatency = (run: () => void): void => {
      events.after(latencyMilliseconds, run);
    };
    afterLatency(() => {
      replica.upstream.submit(item, priority, {
        onDone: computedTokens => {
          afterLatency(() => {
            this.completeCall(item, computedTokens);
          });
        },
        onFailed: computedTokens => {
          afterLatency(() => {
            this.retryCall(item, replica.id, computedTokens);
          });
        },
        onFirstToken: () => {
          this.recordFirstToken(item, latencyMilliseconds);
        },
      });
    });
  }

  private recordFirstToken(call: SimulatedCall, latencyMilliseconds: number): void {
    const { events, measurements } = this.options;
    if (call.service === 'model' && measurements.isWithinRate(call.workspace)) {
      measurements.firstTokenMilliseconds.add(events.now + latencyMilliseconds - call.enqueuedAt);
    }
  }

  private completeCall(call: SimulatedCall, computedTokens: number): void {
    const { events, measurements, schedulers } = this.options;
    const usedTokens = callCost(computedTokens, call.outputTokens);
    schedulers[call.service].recordEnd({ end: 'succeeded', id: call.id, usedTokens }, events.now);
    if (call.service === 'model') {
      measurements.computedTokens += computedTokens;
      measurements.promptTokens += call.promptTokens;
      measurements.idealTokens += call.promptTokens - (call.prefixes.at(-2)?.tokens ?? 0);
      this.workspaceUse.add(call.workspace, usedTokens);
    }
    call.onDone();
    this.dispatchReady(call.service);
  }

  private retryCall(call: SimulatedCall, replica: UpstreamId, computedTokens: number): void {
    const { events, measurements, retryBudget, schedulers } = this.options;
    const report = { end: 'failed', id: call.id, usedTokens: computedTokens } as const;
    schedulers[call.service].recordEnd(report, events.now);
    measurements.computedTokens += computedTokens;
    if (retryBudget?.tryAcquireRetry(events.now) === false) {
      this.scheduleResend(call);
      return;
    }
    measurements.retries++;
    const id = `${call.id}+${this.resubmissionCount++}` as WorkId;
    const excluded = new Set([...call.excluded, replica]);
    schedulers[call.service].submit({ ...call, excluded, id }, events.now);
    this.dispatchReady(call.service);
  }

  private scheduleResend(call: SimulatedCall): void {
    const id = `${call.id}+${this.resubmissionCount++}` as WorkId;
    this.options.events.after(RETRY_AFTER_MILLISECONDS, () => {
      this.submit({ ...call, excluded: new Set(), id });
    });
  }

  private latencyTo(replica: PlacedReplica): number {
    const isSameZone = replica.zone === this.options.zone;
    return isSameZone ? WITHIN_ZONE_LATENCY_MILLISECONDS : this.options.zoneMilliseconds;
  }
}
