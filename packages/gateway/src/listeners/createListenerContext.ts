import { BytePacer, IntakeTurns } from '@zincring/core';

import type { GatewayOptions } from '../lifecycle/gatewayOptions.js';
import type { ListenerContext } from './httpListener.js';

import { HeldMemory } from '../callers/memory/heldMemory.js';
import {
  deriveHeldMemoryOptions,
  deriveResponseMemoryOptions,
} from '../lifecycle/gatewayOptions.js';
import { ClientChecks } from './clientChecks.js';
import { deriveListenerLimits } from './listenerLimits.js';

/**
 * Creates what the listeners of an instance share, bounded by the memory and descriptors of the instance.
 *
 * @example
 * const context = createListenerContext(options, { logger, metrics, timers });
 */
export function createListenerContext(
  options: GatewayOptions,
  { logger, metrics, timers }: Pick<ListenerContext, 'logger' | 'metrics' | 'timers'>,
): ListenerContext {
  const pacer = new BytePacer(timers, bytes => {
    metrics.pacedBytes.inc(bytes);
  });
  return {
    checks: new ClientChecks(),
    limits: deriveListenerLimits(options),
    logger,
    memory: new HeldMemory(deriveHeldMemoryOptions(options)),
    responseMemory: new HeldMemory(deriveResponseMemoryOptions(options)),
    metrics,
    pacer,
    timers,
    turns: new IntakeTurns(timers, pacer),
  };
}
