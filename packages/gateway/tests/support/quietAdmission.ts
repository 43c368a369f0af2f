import { silentLogger } from '@zincring/core';

import type { ProgramAdmissionDependencies } from '../../src/upstreams/load/programAdmission.js';

import { GatewayMetrics } from '../../src/observation/gatewayMetrics.js';

/** Dependencies of an admission that tells nobody what it does. */
export const quietAdmission: Pick<
  ProgramAdmissionDependencies,
  'isStopping' | 'logger' | 'metrics'
> = {
  isStopping: () => false,
  logger: silentLogger,
  metrics: new GatewayMetrics(),
};
