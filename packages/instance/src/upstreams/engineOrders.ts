import type { Epoch, ProgramId, Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';
import { z } from 'zod';

import type { Replica } from './replicaTable.js';

import { openRequest, readAll } from './upstreamRequest.js';

/** An order to drop what an engine holds for a program. */
export interface ReleaseOrder {
  readonly program: ProgramId;
  /** Fencing number; engines that check it refuse an older one. */
  readonly fence: Epoch;
}

/** How an order ended: `fenced` when a newer holder has given orders since. */
export type OrderOutcome = 'done' | 'fenced';

/** What an engine says of its load, with a lag. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly cachedTokens: number;
}

/** A change of an engine's prefix cache. */
export interface EngineCacheEvent {
  readonly sequence: number;
  readonly change: 'evicted' | 'stored';
  readonly prefix: string;
  readonly tokens: number;
}

/** A page of cache events. */
export interface EngineCacheEvents {
  readonly events: readonly EngineCacheEvent[];
  /** Where to read on. */
  readonly next: number;
}

/** Speaks to engines beside the generation itself. */
export interface EngineOrders {
  release(replica: Replica, order: ReleaseOrder): Promise<Result<OrderOutcome, Error>>;
  /** Programs for which an engine holds memory. */
  listHeld(replica: Replica): Promise<Result<readonly ProgramId[], Error>>;
  readLoad(replica: Replica): Promise<Result<EngineLoad, Error>>;
  readCacheEvents(replica: Replica, after: number): Promise<Result<EngineCacheEvents, Error>>;
}

const STATUS_CONFLICT = 409;
const ORDER_TIMEOUT_MILLISECONDS = 2_000;

const heldSchema = z.object({ programs: z.record(z.string(), z.number()) });
const loadSchema = z.object({
  cachedTokens: z.number(),
  running: z.number(),
  waiting: z.number(),
});
const eventsSchema = z.object({
  events: z.array(
    z.object({
      change: z.enum(['evicted', 'stored']),
      prefix: z.string(),
      sequence: z.number(),
      tokens: z.number(),
    }),
  ),
  next: z.number(),
});

/** Orders and reports over the plain HTTP interface of the engine stand-in. */
export class HttpEngineOrders implements EngineOrders {
  public async release(
    replica: Replica,
    order: ReleaseOrder,
  ): Promise<Result<OrderOutcome, Error>> {
    try {
      const answer = await exchange(replica, 'POST', '/v1/release', JSON.stringify(order));
      if (answer.status === STATUS_CONFLICT) {
        return Ok('fenced');
      }
      return answer.status === 200 ? Ok('done') : Err(new Error(`status ${answer.status}`));
    } catch (failure) {
      return Err(failure instanceof Error ? failure : new Error(String(failure)));
    }
  }

  public async listHeld(replica: Replica): Promise<Result<readonly ProgramId[], Error>> {
    const held = await read(replica, '/v1/held', heldSchema);
    return held.map(answer =>
      Object.keys(answer.programs)
        .filter(program => program !== '')
        .map(program => program as ProgramId),
    );
  }

  public async readLoad(replica: Replica): Promise<Result<EngineLoad, Error>> {
    return await read(replica, '/v1/load', loadSchema);
  }

  public async readCacheEvents(
    replica: Replica,
    after: number,
  ): Promise<Result<EngineCacheEvents, Error>> {
    return await read(replica, `/v1/cache-events?after=${after}`, eventsSchema);
  }
}

async function read<Answer>(
  replica: Replica,
  path: string,
  schema: z.ZodType<Answer>,
): Promise<Result<Answer, Error>> {
  try {
    const answer = await exchange(replica, 'GET', path, '');
    return Ok(schema.parse(JSON.parse(answer.body)));
  } catch (failure) {
    return Err(failure instanceof Error ? failure : new Error(String(failure)));
  }
}

async function exchange(
  replica: Replica,
  method: 'GET' | 'POST',
  path: string,
  body: string,
): Promise<{ readonly status: number; readonly body: string }> {
  const response = await openRequest({
    address: replica.address,
    body,
    headers: { 'content-type': 'application/json' },
    method,
    path,
    signal: AbortSignal.timeout(ORDER_TIMEOUT_MILLISECONDS),
  });
  return { body: await readAll(response), status: response.statusCode ?? 0 };
}
