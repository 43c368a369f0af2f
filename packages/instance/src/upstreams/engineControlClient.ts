import type { Epoch, ProgramId, Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';
import { z } from 'zod';

import type { Replica } from './replicaTable.js';

import { sendRequest, readText } from './upstreamRequest.js';

/** Request to release the memory that an engine holds for a program. */
export interface ReleaseRequest {
  readonly program: ProgramId;
  /** Fencing token; engines that check it reject a token below the highest they have received. */
  readonly fence: Epoch;
}

/** Outcome of a release: `fenced` if the engine has received a higher fencing token. */
export type ReleaseOutcome = 'done' | 'fenced';

/** Load as an engine reports it, with a lag. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly cachedTokens: number;
}

/** Change of an engine's prefix cache. */
export interface EngineCacheEvent {
  readonly sequence: number;
  readonly change: 'evicted' | 'stored';
  readonly prefix: string;
  readonly tokens: number;
}

/** Page of cache events. */
export interface EngineCacheEvents {
  readonly events: readonly EngineCacheEvent[];
  /** Value of `after` that requests the next page. */
  readonly next: number;
}

/** Client of the engines' control interface: memory, load and cache events. */
export interface EngineControlClient {
  release(replica: Replica, request: ReleaseRequest): Promise<Result<ReleaseOutcome, Error>>;
  /** Lists the programs for which an engine holds memory. */
  listHeldPrograms(replica: Replica): Promise<Result<readonly ProgramId[], Error>>;
  readLoad(replica: Replica): Promise<Result<EngineLoad, Error>>;
  readCacheEvents(replica: Replica, after: number): Promise<Result<EngineCacheEvents, Error>>;
}

const STATUS_CONFLICT = 409;
const REQUEST_TIMEOUT_MILLISECONDS = 2_000;

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

/** Calls the HTTP interface of the engine stand-in. */
export class HttpEngineControlClient implements EngineControlClient {
  public async release(
    replica: Replica,
    request: ReleaseRequest,
  ): Promise<Result<ReleaseOutcome, Error>> {
    try {
      const response = await exchange(replica, 'POST', '/v1/release', JSON.stringify(request));
      if (response.status === STATUS_CONFLICT) {
        return Ok('fenced');
      }
      return response.status === 200 ? Ok('done') : Err(new Error(`status ${response.status}`));
    } catch (failure) {
      return Err(failure instanceof Error ? failure : new Error(String(failure)));
    }
  }

  public async listHeldPrograms(replica: Replica): Promise<Result<readonly ProgramId[], Error>> {
    const heldPrograms = await readJson(replica, '/v1/held', heldSchema);
    return heldPrograms.map(response =>
      Object.keys(response.programs)
        .filter(program => program !== '')
        .map(program => program as ProgramId),
    );
  }

  public async readLoad(replica: Replica): Promise<Result<EngineLoad, Error>> {
    return await readJson(replica, '/v1/load', loadSchema);
  }

  public async readCacheEvents(
    replica: Replica,
    after: number,
  ): Promise<Result<EngineCacheEvents, Error>> {
    return await readJson(replica, `/v1/cache-events?after=${after}`, eventsSchema);
  }
}

async function readJson<Content>(
  replica: Replica,
  path: string,
  schema: z.ZodType<Content>,
): Promise<Result<Content, Error>> {
  try {
    const response = await exchange(replica, 'GET', path, '');
    return Ok(schema.parse(JSON.parse(response.body)));
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
  const response = await sendRequest({
    address: replica.address,
    body,
    headers: { 'content-type': 'application/json' },
    method,
    path,
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
  });
  return { body: await readText(response), status: response.statusCode ?? 0 };
}
