import type { AvailabilityZone } from '@zincring/core';

import type { SweptTable } from '../store/rowSweeper.js';

import { isNumber, toFields } from '../util/jsonFields.js';

/** Registration of an instance, as it is stored. */
export interface PeerRegistration {
  /** Absent in rows of builds up to 09ca40e. */
  readonly availabilityZone?: AvailabilityZone | undefined;
  /** IP address and port for other instances. */
  readonly address: string;
  /** Run of the instance that wrote the row; absent in rows of builds up to de7fcfb. */
  readonly run?: string | undefined;
  /** Time from which the instance counts as gone, on the wall clock, in milliseconds. */
  readonly expiresAt: number;
  /** Time at which the instance left, on the wall clock, in milliseconds; absent before. */
  readonly endedAt?: number | undefined;
}

/** Table of the registered instances. */
export const PEER_TABLE = 'instances';
/** Partition of the registrations: all instances may register at once and must not delay other rows. */
export const PEER_PARTITION = 'instances';
/** Highest port number. */
const MAXIMUM_PORT = 65_535;
/** Time after which a registration that is not renewed expires, in milliseconds. */
export const REGISTRATION_MILLISECONDS = 60_000;
/** Time for which the row of an instance that left is kept, in milliseconds: its writes that are performed late have been performed by then. */
const ENDED_MILLISECONDS = 60_000;

/** Description of the registrations for the removal of expired rows. */
export const sweptPeers: SweptTable = {
  expiresAt: row => {
    const registration = parseRegistration(row.value);
    return registration?.endedAt === undefined
      ? (registration?.expiresAt ?? 0)
      : registration.endedAt + ENDED_MILLISECONDS;
  },
  keysOf: row => [row.key],
  partitions: [PEER_PARTITION],
  table: PEER_TABLE,
};

/**
 * Encodes a registration.
 *
 * @example
 * encodeRegistration({ address: '10.1.0.11:7780', expiresAt: 1_700_000_060_000 });
 */
export function encodeRegistration(registration: PeerRegistration): Buffer {
  return Buffer.from(JSON.stringify(registration));
}

/**
 * Decodes a registration; `undefined` if the row holds none.
 *
 * @example
 * parseRegistration(row.value)?.address; // '10.1.0.11:7780'
 */
export function parseRegistration(value: Buffer): PeerRegistration | undefined {
  try {
    const fields = toFields(JSON.parse(value.toString()));
    const { address, availabilityZone, endedAt, expiresAt, run } = fields;
    return isAddress(address) && isNumber(expiresAt)
      ? {
          address,
          availabilityZone:
            typeof availabilityZone === 'string'
              ? (availabilityZone as AvailabilityZone)
              : undefined,
          endedAt: isNumber(endedAt) ? endedAt : undefined,
          expiresAt,
          run: typeof run === 'string' ? run : undefined,
        }
      : undefined;
  } catch {
    return undefined;
  }
}

/** Whether a value is a host and a port to which a connection can be opened. */
function isAddress(value: unknown): value is string {
  const port = Number(/^[\w.-]+:(\d{1,5})$/.exec(String(value))?.[1]);
  return typeof value === 'string' && port >= 1 && port <= MAXIMUM_PORT;
}
