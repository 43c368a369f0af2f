import type { AvailabilityZone, IncarnationId, UpstreamId } from '@zincring/core';
import type { Dispatch, RetryBudget, ServiceScheduler, WorkId } from '@zincring/scheduling';

import { callCost, WorkspaceUse } from '@zincring/scheduling';

import type { EventQueue } from './eventQueue.js';
import type { Measurements } from './measurements.js';
import type { SimulatedCall, SimulatedReplica } from './modelCall.js';

/** A replica and where it is. */
export interface PlacedReplica {
  readonly id: UpstreamId;
  readonly zone: AvailabilityZone;
  readonly service: SimulatedCall['service'];
  readonly upstream: SimulatedReplica;
}

/** What an instance is made of. */
export interface SimulatedInstanceOptions {
  readonly id: IncarnationId;
  readonly zone: AvailabilityZone;
  readonly events: EventQueue;
  readonly measurements: Measurements;
  readonly schedulers: Readonly<Record<SimulatedCall['service'], ServiceScheduler<SimulatedCall>>>;
  readonly replicas: ReadonlyMap<UpstreamId, PlacedReplica>;
  /** `undefined` where retries are not limited. */
  readonly retryBudget: RetryBudget | undefined;
  /** One way, between availability zones, in milliseconds. */
  readonly zoneMilliseconds: number;
}

/** When a caller comes back after a refusal, in milliseconds. */
const RETRY_AFTER_MILLISECONDS = 2_000;
const WITHIN_ZONE_MILLISECONDS = 0.2;

/** An entry instance: the real schedulers, with sends that take virtual time. */
export class SimulatedInstance {
  public readonly use: WorkspaceUse;
  private readonly wakeAt = new Map<SimulatedCall['service'], number>();
  private attempts = 0;

  public constructor(public readonly options: SimulatedInstanceOptions) {
    this.use = new WorkspaceUse((workspace, tokens) => {
      options.schedulers.model.observeRemoteUse(workspace, tokens);
    });
  }

  /** Takes a call from a program. */
  public submit(call: SimulatedCall): void {
    const { events, measurements, retryBudget, schedulers } = this.options;
    if (schedulers[call.service].submit(call, events.now) === 'accepted') {
      retryBudget?.recordFirstAttempt();
      this.pump(call.service);
      return;
    }
    measurements.refusals += measurements.isWithinRate(call.workspace) ? 1 : 0;
    this.resendLater(call);
  }

  /** Sends whatever may be sent now. */
  public pump(service: SimulatedCall['service']): void {
    const { events, schedulers } = this.options;
    const scheduler = schedulers[service];
    let next = scheduler.next(events.now);
    while (next !== undefined) {
      this.send(next);
      next = scheduler.next(events.now);
    }
    this.wakeLater(service, scheduler.nextWakeAt(events.now));
  }

  private wakeLater(service: SimulatedCall['service'], at: number | undefined): void {
    const { events } = this.options;
    const planned = this.wakeAt.get(service) ?? -Infinity;
    const isPlanned = planned > events.now && planned <= (at ?? Infinity);
    if (at === undefined || isPlanned) {
      return;
    }
    this.wakeAt.set(service, at);
    events.after(at - events.now, () => {
      this.pump(service);
    });
  }

  private send({ item, placement, priority }: Dispatch<SimulatedCall>): void {
    const { events, measurements, replicas } = this.options;
    const replica = replicas.get(placement.replica);
    if (replica === undefined) {
      return;
    }
    const delay = this.delayTo(replica);
    if (item.service === 'model' && measurements.isWithinRate(item.workspace)) {
      measurements.queueWait.add(events.now - item.enqueuedAt);
    }
    const later = (run: () => void): void => {
      events.after(delay, run);
    };
    later(() => {
      replica.upstream.submit(item, priority, {
        onDone: computed => {
          later(() => {
            this.finish(item, computed);
          });
        },
        onFailed: computed => {
          later(() => {
            this.fail(item, replica.id, computed);
          });
        },
        onFirstToken: () => {
          this.noteFirstToken(item, delay);
        },
      });
    });
  }

  private noteFirstToken(call: SimulatedCall, delay: number): void {
    const { events, measurements } = this.options;
    if (call.service === 'model' && measurements.isWithinRate(call.workspace)) {
      measurements.firstToken.add(events.now + delay - call.enqueuedAt);
    }
  }

  private finish(call: SimulatedCall, computedTokens: number): void {
    const { events, measurements, schedulers } = this.options;
    const usedTokens = callCost(computedTokens, call.outputTokens);
    schedulers[call.service].recordEnd({ end: 'succeeded', id: call.id, usedTokens }, events.now);
    if (call.service === 'model') {
      measurements.computedTokens += computedTokens;
      measurements.promptTokens += call.promptTokens;
      measurements.idealTokens += call.promptTokens - (call.prefixes.at(-2)?.tokens ?? 0);
      this.use.add(call.workspace, usedTokens);
    }
    call.onDone();
    this.pump(call.service);
  }

  private fail(call: SimulatedCall, replica: UpstreamId, computedTokens: number): void {
    const { events, measurements, retryBudget, schedulers } = this.options;
    const report = { end: 'failed', id: call.id, usedTokens: computedTokens } as const;
    schedulers[call.service].recordEnd(report, events.now);
    measurements.computedTokens += computedTokens;
    if (retryBudget?.tryAcquireRetry(events.now) === false) {
      this.resendLater(call);
      return;
    }
    measurements.retries++;
    const id = `${call.id}+${this.attempts++}` as WorkId;
    const excluded = new Set([...call.excluded, replica]);
    schedulers[call.service].submit({ ...call, excluded, id }, events.now);
    this.pump(call.service);
  }

  private resendLater(call: SimulatedCall): void {
    const id = `${call.id}+${this.attempts++}` as WorkId;
    this.options.events.after(RETRY_AFTER_MILLISECONDS, () => {
      this.submit({ ...call, excluded: new Set(), id });
    });
  }

  private delayTo(replica: PlacedReplica): number {
    const isNear = replica.zone === this.options.zone;
    return isNear ? WITHIN_ZONE_MILLISECONDS : this.options.zoneMilliseconds;
  }
}
