import type { WorkspaceName } from '@zincring/core';

import type { GatewayConfiguration } from '../../configuration/gatewayConfiguration.js';

/**
 * Relative shares of workspaces when they compete: their configured rates. One without a limit counts
 * as much as the mean of the others.
 *
 * @example
 * const weights = new WorkspaceWeights(() => follower.current?.configuration);
 * weights.weightOf('clerks' as WorkspaceName); // 10
 */
export class WorkspaceWeights {
  private configuration: GatewayConfiguration | undefined;
  private rates: ReadonlyMap<WorkspaceName, number> = new Map();
  private meanRate = 1;

  public constructor(private readonly findConfiguration: () => GatewayConfiguration | undefined) {}

  /** Returns the relative share of a workspace; above 0. */
  public weightOf(workspace: WorkspaceName): number {
    const configuration = this.findConfiguration();
    if (configuration !== this.configuration) {
      this.configuration = configuration;
      this.readRates(configuration);
    }
    return this.rates.get(workspace) ?? this.meanRate;
  }

  private readRates(configuration: GatewayConfiguration | undefined): void {
    const limited = (configuration?.workspaces ?? []).filter(
      ({ ratePerSecond }) => ratePerSecond > 0,
    );
    const sum = limited.reduce((total, { ratePerSecond }) => total + ratePerSecond, 0);
    this.rates = new Map(limited.map(({ name, ratePerSecond }) => [name, ratePerSecond]));
    this.meanRate = limited.length === 0 ? 1 : sum / limited.length;
  }
}
