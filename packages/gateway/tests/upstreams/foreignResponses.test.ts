import { createLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import { refuses, responds } from '../support/fakeReplica.js';
import { safeRoute, startGateway } from '../support/gatewayFixture.js';

describe('a response', () => {
  it('is logged with the request that it answers when it refuses an attempt', async () => {
    const lines: Readonly<Record<string, unknown>>[] = [];
    const logger = createLogger(
      'info',
      {},
      { write: line => lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>) },
    );
    const fixture = await startGateway(safeRoute, [[refuses], [responds('done')]], { logger });
    expect((await fixture.send()).status).toBe(200);
    expect(lines.find(({ event }) => event === 'attempt-refused')).toMatchObject({
      answeredRequest: 'request-1',
      isConnectionReused: false,
      request: 'request-1',
      status: 503,
    });
  });
});
