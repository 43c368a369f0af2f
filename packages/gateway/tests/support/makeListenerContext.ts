import { BytePacer, IntakeTurns, silentLogger, SystemTimerService } from '@zincring/core';

import type { ListenerContext } from '../../src/listeners/httpListener.js';

import { HeldMemory } from '../../src/callers/memory/heldMemory.js';
import { ClientChecks } from '../../src/listeners/clientChecks.js';
import { deriveListenerLimits } from '../../src/listeners/listenerLimits.js';
import { GatewayMetrics } from '../../src/observation/gatewayMetrics.js';

/** Makes what a listener needs on an instance without bounds. */
export function makeListenerContext(overrides: Partial<ListenerContext> = {}): ListenerContext {
  const timers = new SystemTimerService();
  const pacer = new BytePacer(timers);
  return {
    checks: new ClientChecks(),
    limits: deriveListenerLimits({}),
    logger: silentLogger,
    memory: new HeldMemory(),
    responseMemory: new HeldMemory(),
    metrics: new GatewayMetrics(),
    pacer,
    timers,
    turns: new IntakeTurns(timers, pacer),
    ...overrides,
  };
}
