import type { Result } from '@zincring/core';

import { z } from 'zod';

import type { HttpClient } from '../http/httpClient.js';
import type { PlatformError } from '../platformError.js';
import type {
  Row,
  ScanPage,
  ScanRequest,
  TableService,
  Transaction,
  TransactionOutcome,
} from './tableService.js';

import { parseResponse } from '../http/parseResponse.js';

const rowSchema = z.object({ key: z.string(), value: z.string(), version: z.number() });
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const pageSchema = z
  .object({ next: z.string().nullable(), rows: z.array(rowSchema) })
  .transform(page => ({ next: page.next ?? undefined, rows: page.rows }));
const outcomeSchema = z.object({
  rows: z.array(rowSchema),
  status: z.enum(['committed', 'conflict']),
});

/** Table service that is accessed over the plain HTTP protocol of the stand-in. */
export class HttpTableService implements TableService {
  public constructor(private readonly httpClient: HttpClient) {}

  public async read(keys: readonly string[]): Promise<Result<readonly Row[], PlatformError>> {
    const result = await this.post('/table/read', { keys }, true);
    return result.andThen(response =>
      parseResponse(rowsSchema, response, 'unavailable').map(body => body.rows),
    );
  }

  public async scan(request: ScanRequest): Promise<Result<ScanPage, PlatformError>> {
    const result = await this.post('/table/scan', request, true);
    return result.andThen(response => parseResponse(pageSchema, response, 'unavailable'));
  }

  public async transact(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>> {
    const result = await this.post('/table/transact', transaction, false);
    return result.andThen(response => parseResponse(outcomeSchema, response, 'outcome-unknown'));
  }

  private async post(path: string, body: object, isRead: boolean): ReturnType<HttpClient['send']> {
    return await this.httpClient.send({
      body: JSON.stringify(body),
      headers: { 'content-type': 'application/json' },
      isRetrySafe: isRead,
      method: 'POST',
      path,
    });
  }
}
