import type { AvailabilityZone, WorkspaceName } from '@zincring/core';

import type { EngineSpeed } from './fleet/simulatedEngine.js';

/** Shape of a fleet. */
export interface Deployment {
  readonly name: DeploymentName;
  readonly zones: readonly AvailabilityZone[];
  readonly instances: number;
  readonly modelReplicas: number;
  readonly plainReplicas: number;
  /** One way, between availability zones, in milliseconds. */
  readonly zoneMilliseconds: number;
}

/** Names of the deployments. */
export const deploymentNames = ['utility', 'foundation'] as const;

/** Name of a deployment. */
export type DeploymentName = (typeof deploymentNames)[number];

const zones = (...names: readonly string[]): readonly AvailabilityZone[] =>
  names as readonly AvailabilityZone[];

/** The deployments of today. */
export const deployments: Readonly<Record<DeploymentName, Deployment>> = {
  foundation: {
    instances: 13,
    modelReplicas: 13,
    name: 'foundation',
    plainReplicas: 4,
    zoneMilliseconds: 1.5,
    zones: zones('doi-a', 'doi-b', 'doi-c'),
  },
  utility: {
    instances: 13,
    modelReplicas: 13,
    name: 'utility',
    plainReplicas: 6,
    zoneMilliseconds: 1,
    zones: zones('nelson', 'castlegar', 'trail', 'kaslo'),
  },
};

/** Shares of the traffic by workspace: the first sends more than all others together. */
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

/** Speed of the simulated engines. */
export const engineSpeed: EngineSpeed = {
  cacheTokens: 600_000,
  millisecondsPerPrefillToken: 0.06,
  millisecondsPerSequence: 0.2,
  prefillTokensPerStep: 256,
  slots: 16,
  stepMilliseconds: 25,
};

/** Calls that one replica of a plain service works on at a time. */
export const PLAIN_WORKERS = 4;
