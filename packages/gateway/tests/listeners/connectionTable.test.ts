import type { Socket } from 'node:net';

import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';

import type { ConnectionIntake } from '../../src/listeners/connectionIntake.js';

import { ConnectionTable } from '../../src/listeners/connectionTable.js';

class FakeSocket extends EventEmitter {
  public isDestroyed = false;

  public constructor(public readonly remoteAddress: string) {
    super();
  }

  public destroy(): void {
    this.isDestroyed = true;
    this.emit('close');
  }
}

interface IntakeState {
  readonly hasCompleteRequest?: boolean;
  readonly lastArrivalAt?: number;
  readonly requestCount?: number;
}

function connect(table: ConnectionTable, address: string, state: IntakeState = {}): FakeSocket {
  const socket = new FakeSocket(address);
  const intake = { hasCompleteRequest: false, lastArrivalAt: 0, requestCount: 0, ...state };
  if (!table.add(socket as unknown as Socket, intake as unknown as ConnectionIntake)) {
    socket.isDestroyed = true;
  }
  return socket;
}

describe(ConnectionTable, () => {
  it('replaces the connection of the address that has been silent for the longest', () => {
    const table = new ConnectionTable(4);
    const sockets = [30, 10, 20].map(lastArrivalAt => connect(table, 'a', { lastArrivalAt }));
    connect(table, 'a', { lastArrivalAt: 40 });
    expect(sockets.map(({ isDestroyed }) => isDestroyed)).toEqual([false, true, false]);
    expect(table.size).toBe(3);
  });

  // Guards against one client that takes all connections: another address still finds one.
  it('keeps places for other addresses', () => {
    const table = new ConnectionTable(4);
    const busy = { hasCompleteRequest: true };
    const greedy = Array.from({ length: 6 }, () => connect(table, 'a', busy));
    const other = connect(table, 'b', busy);
    expect(greedy.map(({ isDestroyed }) => isDestroyed)).toEqual([
      false,
      false,
      false,
      true,
      true,
      true,
    ]);
    expect(other.isDestroyed).toBe(false);
  });

  it('closes a connection of the address with the most when all places are taken', () => {
    const table = new ConnectionTable(4);
    const greedy = [1, 2, 3].map(lastArrivalAt => connect(table, 'a', { lastArrivalAt }));
    const single = connect(table, 'b');
    const newcomer = connect(table, 'c', { lastArrivalAt: 9 });
    expect(greedy.map(({ isDestroyed }) => isDestroyed)).toEqual([true, false, false]);
    expect([single.isDestroyed, newcomer.isDestroyed]).toEqual([false, false]);
  });

  it('never replaces a connection with a request that was received completely', () => {
    const table = new ConnectionTable(2);
    const busy = [1, 2].map(() => connect(table, 'a', { hasCompleteRequest: true }));
    const refused = connect(table, 'b');
    expect(busy.concat(refused).map(({ isDestroyed }) => isDestroyed)).toEqual([
      false,
      false,
      true,
    ]);
  });

  it.each([
    { address: 'a', inProgress: 5, isPlaceLeft: true },
    { address: 'a', inProgress: 6, isPlaceLeft: false },
    { address: 'b', inProgress: 6, isPlaceLeft: true },
    { address: 'b', inProgress: 8, isPlaceLeft: false },
  ])(
    'has a place for a request from $address while $inProgress of 8 are in progress: $isPlaceLeft',
    ({ address, inProgress, isPlaceLeft }) => {
      const table = new ConnectionTable(100);
      connect(table, 'a', { requestCount: inProgress });
      const socket = connect(table, address) as unknown as Socket;
      expect(table.hasPlaceForRequest(socket, inProgress, 8)).toBe(isPlaceLeft);
    },
  );
});
