import type { AvailabilityZone, Result, ServiceName } from '@zincring/core';

import { z } from 'zod';

import type { HttpClient } from '../http/httpClient.js';
import type { PlatformError } from '../platformError.js';
import type { DirectoryEntry, InstanceDirectory } from './instanceDirectory.js';

import { parseResponse } from '../http/parseResponse.js';

const entrySchema = z
  .object({
    address: z.string(),
    id: z.string(),
    role: z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('entry') }),
      z.object({
        kind: z.literal('upstream'),
        service: z.string().transform(name => name as ServiceName),
      }),
    ]),
    state: z.enum(['leaving', 'live']),
    zone: z.string().transform(name => name as AvailabilityZone),
  })
  .transform((entry): DirectoryEntry => entry);
const listSchema = z
  .object({ instances: z.array(entrySchema) })
  .transform((list): readonly DirectoryEntry[] => list.instances);

/** Instance directory that is accessed over the plain HTTP protocol of the stand-in. */
export class HttpInstanceDirectory implements InstanceDirectory {
  public constructor(private readonly httpClient: HttpClient) {}

  public async list(): Promise<Result<readonly DirectoryEntry[], PlatformError>> {
    const result = await this.httpClient.send({
      isRetrySafe: true,
      method: 'GET',
      path: '/instances',
    });
    return result.andThen(response => parseResponse(listSchema, response, 'unavailable'));
  }
}
