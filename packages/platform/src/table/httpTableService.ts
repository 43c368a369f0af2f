import type { Result } from '@zincring/core';

import { z } from 'zod';

import type { HttpExchange } from '../http/httpExchange.js';
import type { PlatformError } from '../platformError.js';
import type {
  Row,
  ScanPage,
  ScanRequest,
  TableService,
  Transaction,
  TransactionOutcome,
} from './tableService.js';

import { parseAnswer } from '../http/parseAnswer.js';

const rowSchema = z.object({ key: z.string(), value: z.string(), version: z.number() });
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const pageSchema = z
  .object({ next: z.string().nullable(), rows: z.array(rowSchema) })
  .transform(page => ({ next: page.next ?? undefined, rows: page.rows }));
const outcomeSchema = z.object({
  rows: z.array(rowSchema),
  status: z.enum(['committed', 'conflict']),
});

/** The table service over the plain HTTP protocol of the stand-in. */
export class HttpTableService implements TableService {
  public constructor(private readonly exchange: HttpExchange) {}

  public async read(keys: readonly string[]): Promise<Result<readonly Row[], PlatformError>> {
    const response = await this.post('/table/read', { keys }, true);
    return response.andThen(answer =>
      parseAnswer(rowsSchema, answer, 'unavailable').map(body => body.rows),
    );
  }

  public async scan(scan: ScanRequest): Promise<Result<ScanPage, PlatformError>> {
    const response = await this.post('/table/scan', scan, true);
    return response.andThen(answer => parseAnswer(pageSchema, answer, 'unavailable'));
  }

  public async transact(
    transaction: Transaction,
  ): Promise<Result<TransactionOutcome, PlatformError>> {
    const response = await this.post('/table/transact', transaction, false);
    return response.andThen(answer => parseAnswer(outcomeSchema, answer, 'outcome-unknown'));
  }

  private async post(
    path: string,
    body: object,
    isRead: boolean,
  ): ReturnType<HttpExchange['send']> {
    return await this.exchange.send({
      body: JSON.stringify(body),
      headers: { 'content-type': 'application/json' },
      isRead,
      method: 'POST',
      path,
    });
  }
}
