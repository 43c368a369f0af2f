import type { Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';
import { z } from 'zod';

import type { HttpClient } from '../http/httpClient.js';
import type { ByteRange, ListRequest, ObjectPage, ObjectStore, PutOutcome } from './objectStore.js';

import { parseResponse } from '../http/parseResponse.js';
import { PlatformError } from '../platformError.js';

const STATUS_NOT_FOUND = 404;
const STATUS_PRECONDITION_FAILED = 412;

const pageSchema = z
  .object({ names: z.array(z.string()), next: z.string().nullable() })
  .transform(page => ({ names: page.names, next: page.next ?? undefined }));

/** Object store that is accessed over the plain HTTP protocol of the stand-in. */
export class HttpObjectStore implements ObjectStore {
  public constructor(private readonly httpClient: HttpClient) {}

  public async putIfAbsent(
    name: string,
    content: Uint8Array,
  ): Promise<Result<PutOutcome, PlatformError>> {
    const result = await this.httpClient.send({
      body: content,
      headers: { 'if-none-match': '*' },
      isRetrySafe: false,
      method: 'PUT',
      path: objectPath(name),
    });
    return result.andThen<PutOutcome, PlatformError>(response => {
      if (response.status === STATUS_PRECONDITION_FAILED) {
        return Ok('exists');
      }
      return response.status < 300 ? Ok('stored') : Err(unexpectedStatus(response.status));
    });
  }

  public async get(
    name: string,
    range?: ByteRange,
  ): Promise<Result<Uint8Array | undefined, PlatformError>> {
    const headers: Record<string, string> =
      range === undefined ? {} : { range: `bytes=${range.start}-${range.end - 1}` };
    const result = await this.httpClient.send({
      headers,
      isRetrySafe: true,
      method: 'GET',
      path: objectPath(name),
    });
    return result.andThen<Uint8Array | undefined, PlatformError>(response => {
      if (response.status === STATUS_NOT_FOUND) {
        return Ok(undefined);
      }
      return response.status < 300 ? Ok(response.body) : Err(unexpectedStatus(response.status));
    });
  }

  public async list(request: ListRequest): Promise<Result<ObjectPage, PlatformError>> {
    const query = new URLSearchParams({ limit: String(request.limit), prefix: request.prefix });
    if (request.after !== undefined) {
      query.set('after', request.after);
    }
    const result = await this.httpClient.send({
      isRetrySafe: true,
      method: 'GET',
      path: `/objects?${query.toString()}`,
    });
    return result.andThen(response => parseResponse(pageSchema, response, 'unavailable'));
  }

  public async delete(name: string): Promise<Result<void, PlatformError>> {
    const result = await this.httpClient.send({
      isRetrySafe: true,
      method: 'DELETE',
      path: objectPath(name),
    });
    if (result.err) {
      return result;
    }
    const isAbsent = result.val.status < 300 || result.val.status === STATUS_NOT_FOUND;
    return isAbsent ? Ok(undefined) : Err(unexpectedStatus(result.val.status));
  }
}

function objectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

function unexpectedStatus(status: number): PlatformError {
  return new PlatformError('outcome-unknown', `status ${status}`);
}
