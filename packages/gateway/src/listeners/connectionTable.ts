import type { Socket } from 'node:net';

import type { ConnectionIntake } from './connectionIntake.js';

/** Share of all places that clients of one address may take; the others stay free for other addresses. */
const MAXIMUM_ADDRESS_SHARE = 0.75;

/**
 * Connections of one listener. Clients of one address cannot take all places, and those may be many
 * behind one load balancer. Where a new connection finds no place, it takes that of the one that has
 * been silent for the longest among those without a request that was received completely.
 *
 * @example
 * const table = new ConnectionTable(1_000);
 * if (!table.add(socket, intake)) { socket.destroy(); }
 */
export class ConnectionTable {
  private readonly intakes = new Map<Socket, ConnectionIntake>();

  /**
   * @param maximum connections that may be open at a time
   * @param onReplaced called before a connection is closed in favour of a new one
   */
  public constructor(
    private readonly maximum: number,
    private readonly onReplaced: () => void = () => undefined,
  ) {}

  /** Connections that are open. */
  public get size(): number {
    return this.intakes.size;
  }

  /** Returns the intake of a connection; `undefined` once it is closed. */
  public find(socket: Socket): ConnectionIntake | undefined {
    return this.intakes.get(socket);
  }

  /** All open connections. */
  public entries(): IterableIterator<[Socket, ConnectionIntake]> {
    return this.intakes.entries();
  }

  /** Adds a connection; returns `false` if there is no place for it. */
  public add(socket: Socket, intake: ConnectionIntake): boolean {
    if (!this.hasPlaceFor(socket) && !this.replaceOne(socket)) {
      return false;
    }
    this.intakes.set(socket, intake);
    socket.once('close', () => {
      this.intakes.delete(socket);
    });
    return true;
  }

  /**
   * Whether a request of a connection finds a place among those in progress.
   *
   * @param inProgress requests in progress on all connections
   * @param maximum requests that may be in progress
   */
  public hasPlaceForRequest(socket: Socket, inProgress: number, maximum: number): boolean {
    if (inProgress < maximum * MAXIMUM_ADDRESS_SHARE) {
      return true;
    }
    const fromAddress = this.sumByAddress(({ requestCount }) => requestCount);
    return inProgress < maximum && isWithinShare(fromAddress, socket, maximum);
  }

  private hasPlaceFor(socket: Socket): boolean {
    if (this.size < this.maximum * MAXIMUM_ADDRESS_SHARE) {
      return true;
    }
    const fromAddress = this.sumByAddress(() => 1);
    return this.size < this.maximum && isWithinShare(fromAddress, socket, this.maximum);
  }

  /** Closes a connection of the address that has the most, or of the new one if that has as many as it may. */
  private replaceOne(newcomer: Socket): boolean {
    const fromAddress = this.sumByAddress(() => 1);
    const greediest = isWithinShare(fromAddress, newcomer, this.maximum)
      ? findGreediest(fromAddress)
      : newcomer.remoteAddress;
    let silent: Socket | undefined;
    let silentSince = Infinity;
    for (const [socket, { hasCompleteRequest, lastArrivalAt }] of this.intakes) {
      if (
        socket.remoteAddress === greediest &&
        !hasCompleteRequest &&
        lastArrivalAt < silentSince
      ) {
        silent = socket;
        silentSince = lastArrivalAt;
      }
    }
    if (silent === undefined) {
      return false;
    }
    this.onReplaced();
    this.intakes.delete(silent);
    silent.destroy();
    return true;
  }

  private sumByAddress(
    count: (intake: ConnectionIntake) => number,
  ): Map<string | undefined, number> {
    const sums = new Map<string | undefined, number>();
    for (const [{ remoteAddress }, intake] of this.intakes) {
      sums.set(remoteAddress, (sums.get(remoteAddress) ?? 0) + count(intake));
    }
    return sums;
  }
}

function isWithinShare(
  fromAddress: ReadonlyMap<string | undefined, number>,
  { remoteAddress }: Socket,
  maximum: number,
): boolean {
  return (fromAddress.get(remoteAddress) ?? 0) < maximum * MAXIMUM_ADDRESS_SHARE;
}

function findGreediest(fromAddress: ReadonlyMap<string | undefined, number>): string | undefined {
  const [first] = [...fromAddress].sort(([, left], [, right]) => right - left);
  return first?.[0];
}
