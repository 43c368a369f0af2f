import type { AvailabilityZone, WorkspaceName } from '@zincring/core';

import type { SimulatedEngineOptions } from './fleet/simulatedEngine.js';

/** Size and layout of a fleet. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly zones: readonly AvailabilityZone[];
  readonly instances: number;
  readonly modelReplicas: number;
  readonly plainReplicas: number;
  /** One-way latency between availability zones, in milliseconds. */
  readonly zoneMilliseconds: number;
}

/** Names of the deployments. */
export const deploymentNames = ['utility', 'foundation'] as const;

/** Name of a deployment. */
export type DeploymentName = (typeof deploymentNames)[number];

const toZones = (...names: readonly string[]): readonly AvailabilityZone[] =>
  names as readonly AvailabilityZone[];

/** The current deployments. */
export const deployments: Readonly<Record<DeploymentName, Deployment>> = {
  foundation: {
    instances: 13,
    modelReplicas: 13,
    name: 'foundation',
    plainReplicas: 4,
    zoneMilliseconds: 1.5,
    zones: toZones('doi-a', 'doi-b', 'doi-c'),
  },
  utility: {
    instances: 13,
    modelReplicas: 13,
    name: 'utility',
    plainReplicas: 6,
    zoneMilliseconds: 1,
    zones: toZones('nelson', 'castlegar', 'trail', 'kaslo'),
  },
};

/** Share of the traffic of each workspace; the first sends more than all others together. */
export const workspaceShares: readonly (readonly [WorkspaceName, number])[] = [
  ['largest' as WorkspaceName, 0.55],
  ['large-1' as WorkspaceName, 0.12],
  ['large-2' as WorkspaceName, 0.1],
  ['small-1' as WorkspaceName, 0.046],
  ['small-2' as WorkspaceName, 0.046],
  ['small-3' as WorkspaceName, 0.046],
  ['small-4' as WorkspaceName, 0.046],
  ['small-5' as WorkspaceName, 0.046],
];

/** Size and speed of the simulated engines. */
export const engineOptions: SimulatedEngineOptions = {
  cacheTokens: 600_000,
  millisecondsPerPrefillToken: 0.06,
  millisecondsPerSequence: 0.2,
  prefillTokensPerStep: 256,
  slots: 16,
  stepMilliseconds: 25,
};

/** Number of calls that one replica of a plain service processes at a time. */
export const WORKERS_PER_PLAIN_REPLICA = 4;
