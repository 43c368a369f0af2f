import type { Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';
import { z } from 'zod';

import type { HttpExchange } from '../http/httpExchange.js';
import type { ByteRange, ListRequest, ObjectPage, ObjectStore, PutOutcome } from './objectStore.js';

import { parseAnswer } from '../http/parseAnswer.js';
import { PlatformError } from '../platformError.js';

const STATUS_NOT_FOUND = 404;
const STATUS_PRECONDITION_FAILED = 412;

const pageSchema = z
  .object({ names: z.array(z.string()), next: z.string().nullable() })
  .transform(page => ({ names: page.names, next: page.next ?? undefined }));

/** The object store over the plain HTTP protocol of the stand-in. */
export class HttpObjectStore implements ObjectStore {
  public constructor(private readonly exchange: HttpExchange) {}

  public async putIfAbsent(
    name: string,
    content: Uint8Array,
  ): Promise<Result<PutOutcome, PlatformError>> {
    const sent = await this.exchange.send({
      body: content,
      headers: { 'if-none-match': '*' },
      isRead: false,
      method: 'PUT',
      path: objectPath(name),
    });
    return sent.andThen<PutOutcome, PlatformError>(response => {
      if (response.status === STATUS_PRECONDITION_FAILED) {
        return Ok('exists');
      }
      return response.status < 300 ? Ok('stored') : Err(unexpected(response.status));
    });
  }

  public async get(
    name: string,
    range?: ByteRange,
  ): Promise<Result<Uint8Array | undefined, PlatformError>> {
    const headers: Record<string, string> =
      range === undefined ? {} : { range: `bytes=${range.start}-${range.end - 1}` };
    const sent = await this.exchange.send({
      headers,
      isRead: true,
      method: 'GET',
      path: objectPath(name),
    });
    return sent.andThen<Uint8Array | undefined, PlatformError>(response => {
      if (response.status === STATUS_NOT_FOUND) {
        return Ok(undefined);
      }
      return response.status < 300 ? Ok(response.body) : Err(unexpected(response.status));
    });
  }

  public async list(list: ListRequest): Promise<Result<ObjectPage, PlatformError>> {
    const query = new URLSearchParams({ limit: String(list.limit), prefix: list.prefix });
    if (list.after !== undefined) {
      query.set('after', list.after);
    }
    const sent = await this.exchange.send({
      isRead: true,
      method: 'GET',
      path: `/objects?${query.toString()}`,
    });
    return sent.andThen(response => parseAnswer(pageSchema, response, 'unavailable'));
  }

  public async delete(name: string): Promise<Result<void, PlatformError>> {
    const sent = await this.exchange.send({
      isRead: true,
      method: 'DELETE',
      path: objectPath(name),
    });
    if (sent.err) {
      return sent;
    }
    const isGone = sent.val.status < 300 || sent.val.status === STATUS_NOT_FOUND;
    return isGone ? Ok(undefined) : Err(unexpected(sent.val.status));
  }
}

function objectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

function unexpected(status: number): PlatformError {
  return new PlatformError('outcome-unknown', `status ${status}`);
}
