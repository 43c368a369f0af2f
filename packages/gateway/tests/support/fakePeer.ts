import type { InstanceId } from '@zincring/core';

import type { GatewayPeer } from '../../src/peers/gatewayPeer.js';
import type { Owner } from '../../src/peers/ownerSelector.js';

import { RelayServer } from '../../src/peers/relayServer.js';
import { makeListenerContext } from './makeListenerContext.js';

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

/** Makes a server that relays no requests. */
export function makeRelayServer(): RelayServer {
  const target = {
    accept: () => ({ kind: 'unavailable', reason: 'it relays nothing' }) as const,
    exchange: async () => await Promise.reject(new Error('not accepted')),
  };
  return new RelayServer(target, makeListenerContext());
}

/** Makes a list of other instances that is always current. */
export function makeOwnerDirectory(owners: readonly Owner[]): {
  ageMilliseconds: () => number;
  changedAt: number;
  isRegistered: boolean;
  registeredAt: number;
  owners: readonly Owner[];
} {
  return { ageMilliseconds: () => 0, changedAt: 0, isRegistered: true, owners, registeredAt: 0 };
}
