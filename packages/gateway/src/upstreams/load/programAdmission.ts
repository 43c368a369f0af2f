import type { ServiceName } from '@zincring/core';

import { ZincringError } from '@zincring/core';

import type { GatewayService } from '../../configuration/gatewayConfiguration.js';
import type { ReplicaEntry } from '../replica.js';

/** Dependencies of {@link ProgramAdmission}. */
export interface ProgramAdmissionDependencies {
  /** Returns the replicas that serve a service. */
  readonly findReplicas: (service: ServiceName) => readonly ReplicaEntry[];
  /** Estimates the turns of all instances in flight at a service; `undefined` if not known. */
  readonly estimateTurns: (service: ServiceName) => number | undefined;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
}

/** A turn that may start a program. */
export interface ProgramTurn {
  readonly service: GatewayService;
  /** Priority that the operator gave to the request; 0 is the highest. */
  readonly priority: number;
}

/**
 * Turns in flight, relative to the slots of all engines, above which no programs start: a short queue
 * keeps the slots in use, and a longer one only delays the programs in progress.
 */
const START_LIMIT = 1.2;
/** The same limit for programs of the highest priority. */
const HIGHEST_PRIORITY_START_LIMIT = 1.5;
/** Time in which the engines complete as many turns as they have slots, in milliseconds: about the length of a turn. */
const SLOT_TURNOVER_MILLISECONDS = 400;
/** Retry delay for the smallest excess, in milliseconds: callers that return sooner meet the same load. */
const MINIMUM_RETRY_MILLISECONDS = 200;
/** Maximum retry delay, in milliseconds: a program that starts later than that is late. */
const MAXIMUM_RETRY_MILLISECONDS = 800;

/**
 * Decides whether programs may start. Under a burst of more programs than the engines can serve, those
 * in progress are completed and new ones are refused at once, before anything has run, instead of all of
 * them ending late. While the load is not known, programs start.
 *
 * @example
 * admission.checkStart({ priority: 1, service })?.retryAfterSeconds; // 0.42
 */
export class ProgramAdmission {
  public constructor(private readonly dependencies: ProgramAdmissionDependencies) {}

  /** Returns the refusal of a turn if it starts a program, or `undefined` if programs may start. */
  public checkStart({ priority, service }: ProgramTurn): ZincringError | undefined {
    if (service.engine === undefined) {
      return undefined;
    }
    const excess = this.computeLoad(service.name) - chooseLimit(priority);
    if (excess <= 0) {
      return undefined;
    }
    return new ZincringError('queue-full', {
      detail: 'the engines are busy with programs in progress',
      retryAfterSeconds: this.chooseRetryMilliseconds(excess) / 1_000,
    });
  }

  /** Turns in flight relative to the slots; 0 if not known. */
  private computeLoad(service: ServiceName): number {
    const turns = this.dependencies.estimateTurns(service);
    const slots = this.dependencies
      .findReplicas(service)
      .filter(({ isDraining }) => !isDraining)
      .reduce((sum, replica) => sum + replica.slots, 0);
    return turns === undefined || slots === 0 ? 0 : turns / slots;
  }

  /** Time until the excess has been worked off, spread so that refused callers do not return at once. */
  private chooseRetryMilliseconds(excess: number): number {
    const milliseconds = MINIMUM_RETRY_MILLISECONDS + excess * SLOT_TURNOVER_MILLISECONDS;
    const spread = 0.5 + this.dependencies.random();
    return Math.ceil(Math.min(MAXIMUM_RETRY_MILLISECONDS, milliseconds * spread));
  }
}

function chooseLimit(priority: number): number {
  return priority === 0 ? HIGHEST_PRIORITY_START_LIMIT : START_LIMIT;
}
