import type { InstanceId } from '@zincring/core';

import type { GatewayPeer } from '../../src/peers/gatewayPeer.js';
import type { Owner } from '../../src/peers/ownerSelector.js';

const unreachablePeer: GatewayPeer = {
  acquireOwned: async () => await Promise.resolve({ kind: 'unreachable' }),
  acquirePermit: async () => await Promise.resolve({ kind: 'unreachable' }),
  reportRate: async () => await Promise.resolve(false),
  reserveOwned: async () => await Promise.resolve({ kind: 'unreachable' }),
  settleOwned: async () => await Promise.resolve(false),
};

/** Makes another instance; without overrides it does not respond. */
export function makeOwner(name: string, overrides: Partial<GatewayPeer> = {}): Owner {
  return { instance: name as InstanceId, peer: { ...unreachablePeer, ...overrides } };
}
