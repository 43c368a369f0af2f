import type { Logger, ServiceName, TimerService } from '@zincring/core';
import type {
  AdmissionDecision,
  AdmissionPolicy,
  AdmissionReason,
  AdmissionRefusal,
  AdmissionRequest,
  WorkspaceShares,
  WorkspaceTurnCounts,
} from '@zincring/scheduling';

import { sleep, ZincringError } from '@zincring/core';
import { CostAdmission } from '@zincring/scheduling';

import type { GatewayMetrics } from '../../observation/gatewayMetrics.js';
import type { RunnableRequest } from '../attemptLoop.js';
import type { ReplicaEntry } from '../replica.js';

import { ServiceWork } from './serviceWork.js';

/** Dependencies of {@link ProgramAdmission}. */
export interface ProgramAdmissionDependencies {
  /** Returns the replicas that serve a service. */
  readonly findReplicas: (service: ServiceName) => readonly ReplicaEntry[];
  /** Estimates the turns of all instances in flight at a service; `undefined` if not known. */
  readonly estimateTurns: (service: ServiceName) => number | undefined;
  /** Returns the number of other instances. */
  readonly countPeers: () => number;
  /** Use of the engines by workspace. */
  readonly shares: WorkspaceShares;
  /** Whether the instance has begun to stop. */
  readonly isStopping: () => boolean;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  readonly metrics: Pick<GatewayMetrics, 'admissions'>;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly policy?: AdmissionPolicy;
}

/** A turn that may start a program. */
export interface ProgramTurn {
  readonly request: RunnableRequest;
  /** Priority that the operator gave to the request; 0 is the highest. */
  readonly priority: number;
  /** Lowest priority that the operator uses. */
  readonly lowestPriority: number;
}

/** A turn that is delayed or refused if it starts a program. */
export interface HeldTurn {
  readonly turn: ProgramTurn;
  readonly draw: number;
  readonly heldAt: number;
  readonly decision: AdmissionDecision;
}

/** Load of the engines, in turns for each slot, from which instances tell each other who uses them. */
const CONTENDED_LOAD = 0.8;
/** Time for which the engines count as contended once they were, in milliseconds. */
const CONTENDED_MILLISECONDS = 2_000;
/** Maximum number of turns that wait at an instance: their bodies and reservations take memory. */
const MAXIMUM_WAITING_TURNS = 64;
const details: Readonly<Record<AdmissionReason, string>> = {
  'beyond-share': 'the engines are busy and the workspace uses more than its share',
  busy: 'the engines are busy with programs in progress',
  'too-late': 'the engines are busy and the program cannot end in time',
};

/**
 * Connects the decision on program starts to what this instance knows: the turns of all instances in
 * flight, the use by workspace, and what programs of each route need. A held start waits here for a
 * short time or is refused before anything has run.
 *
 * @example
 * const held = admission.check(turn); // undefined: the engines have room
 * const refusal = held && (await admission.settle(held, signal));
 */
export class ProgramAdmission {
  private readonly works = new Map<ServiceName, ServiceWork>();
  private readonly policy: AdmissionPolicy;
  private contendedUntil = -Infinity;
  private waitingTurns = 0;

  public constructor(private readonly dependencies: ProgramAdmissionDependencies) {
    this.policy = dependencies.policy ?? new CostAdmission();
  }

  /** Use of the engines by workspace at this instance; `undefined` while the engines have room. */
  public get ownCounts(): WorkspaceTurnCounts | undefined {
    return this.isContended ? this.dependencies.shares.ownCounts : undefined;
  }

  /** Whether the engines have had little room of late. */
  public get isContended(): boolean {
    return this.dependencies.timers.now() < this.contendedUntil;
  }

  /** Takes in the use of the engines by workspace at another instance. */
  public recordPeer(counts: WorkspaceTurnCounts): void {
    this.dependencies.shares.record(counts);
  }

  /** Returns a turn that is not admitted if it starts a program; `undefined` if it may go on. */
  public check(turn: ProgramTurn): HeldTurn | undefined {
    const { random, timers } = this.dependencies;
    if (turn.request.service.engine === undefined) {
      return undefined;
    }
    const perSlot = this.computeLoad(turn.request.service.name);
    if (perSlot === undefined || perSlot <= this.policy.minimumLimit) {
      return undefined;
    }
    const candidate = { draw: random(), heldAt: timers.now(), turn };
    const decision = this.decide(candidate, perSlot);
    return decision.kind === 'admit' ? undefined : { ...candidate, decision };
  }

  /** Decides again on a held turn after it has waited. */
  public reconsider(held: HeldTurn): AdmissionDecision {
    return this.decide(held, this.computeLoad(held.turn.request.service.name));
  }

  /** Waits until a held start may go on; returns the refusal if it may not. */
  public async settle(held: HeldTurn, signal: AbortSignal): Promise<ZincringError | undefined> {
    let { decision } = held;
    while (decision.kind === 'wait' && !signal.aborted) {
      if (this.waitingTurns >= MAXIMUM_WAITING_TURNS || this.dependencies.isStopping()) {
        const { milliseconds: retryAfterMilliseconds, reason } = decision;
        return this.refuse(held, { kind: 'refuse', reason, retryAfterMilliseconds });
      }
      this.count(held.turn, decision);
      await this.wait(decision.milliseconds, signal);
      decision = this.reconsider(held);
    }
    return decision.kind === 'refuse' ? this.refuse(held, decision) : undefined;
  }

  /** Refuses a held start. */
  public refuse({ turn }: HeldTurn, decision: AdmissionRefusal): ZincringError {
    this.count(turn, decision);
    this.findWork(turn.request).recordRefusal(turn);
    return new ZincringError('queue-full', {
      detail: details[decision.reason],
      retryAfterSeconds: decision.retryAfterMilliseconds / 1_000,
    });
  }

  /** Counts a turn that goes to the engines; the returned function ends it. */
  public begin(turn: ProgramTurn, startsProgram: boolean): () => void {
    const { request } = turn;
    if (request.service.engine === undefined) {
      return () => undefined;
    }
    const { shares, timers } = this.dependencies;
    const startedAt = timers.now();
    const work = this.findWork(request);
    work.recordBegin(turn, startsProgram);
    const endUse = shares.begin(request.workspace);
    return () => {
      endUse();
      work.recordEnd(turn, timers.now() - startedAt);
    };
  }

  private async wait(milliseconds: number, signal: AbortSignal): Promise<void> {
    this.waitingTurns++;
    try {
      await sleep(this.dependencies.timers, milliseconds, signal);
    } finally {
      this.waitingTurns--;
    }
  }

  private decide(
    { draw, heldAt, turn }: Omit<HeldTurn, 'decision'>,
    perSlot: number | undefined,
  ): AdmissionDecision {
    const { request } = turn;
    const { countPeers, shares, timers } = this.dependencies;
    const work = this.findWork(request);
    if (countPeers() === 0) {
      shares.record(shares.ownCounts);
    }
    const { ageMilliseconds, crowding, use } = shares.findStanding(request.workspace, perSlot ?? 0);
    const { programRemainingMilliseconds } = request.facts;
    const candidate: AdmissionRequest = {
      ...work.describe(turn),
      crowding,
      draw,
      lowestPriority: turn.lowestPriority,
      priority: turn.priority,
      programRemainingMilliseconds,
      remainingMilliseconds: request.deadline - timers.now(),
      shareUse: use,
      stage: 'program-start',
      targetMilliseconds: request.route.targetMilliseconds,
      waitedMilliseconds: timers.now() - heldAt,
    };
    const admittedShare = work.admitted.share;
    const decision = this.policy.decide(candidate, { admittedShare, perSlot });
    if (decision.kind !== 'admit') {
      this.dependencies.logger.info(
        {
          ...candidate,
          ...decision,
          admittedShare,
          event: 'start-held',
          perSlot,
          request: request.facts.requestId,
          route: request.route.name,
          shareAge: Math.min(ageMilliseconds, 1e9),
          workspace: request.workspace,
        },
        'a turn does not go on now if it starts a program',
      );
    }
    return decision;
  }

  /** Turns relative to the slots; `undefined` if not known. */
  private computeLoad(service: ServiceName): number | undefined {
    const turns = this.dependencies.estimateTurns(service);
    let slots = 0;
    for (const replica of this.dependencies.findReplicas(service)) {
      slots += replica.isDraining ? 0 : replica.slots;
    }
    if (turns === undefined || slots === 0) {
      return undefined;
    }
    if (turns >= CONTENDED_LOAD * slots) {
      this.contendedUntil = this.dependencies.timers.now() + CONTENDED_MILLISECONDS;
    }
    return turns / slots;
  }

  private count(
    { priority }: ProgramTurn,
    { kind, reason }: Exclude<AdmissionDecision, { kind: 'admit' }>,
  ): void {
    this.dependencies.metrics.admissions.inc({
      decision: kind,
      priority: String(priority),
      reason,
    });
  }

  private findWork({ service }: RunnableRequest): ServiceWork {
    const known = this.works.get(service.name);
    if (known !== undefined) {
      return known;
    }
    const work = new ServiceWork();
    this.works.set(service.name, work);
    return work;
  }
}
