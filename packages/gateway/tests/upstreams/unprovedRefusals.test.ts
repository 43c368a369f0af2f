import { describe, expect, it } from 'vitest';

import { responds } from '../support/fakeReplica.js';
import { countRuns, safeRoute, startGateway, unsafeRoute } from '../support/gatewayFixture.js';

describe('a status that promises that a request has not run, from a replica that does not guarantee it', () => {
  it.each(['408 Timeout', '429 Busy', '503 Failed'])(
    'is never passed on to the caller of an unsafe request: %s',
    async status => {
      const fixture = await startGateway(unsafeRoute, [
        [responds('no', status)],
        [responds('no', status)],
      ]);
      const response = await fixture.send();
      expect(response.status).toBe(502);
      expect(response.headers['server-stamp']).toBeUndefined();
      expect(countRuns(fixture)).toBe(1);
    },
  );

  it('is passed on unchanged to the caller of a safe request', async () => {
    const fixture = await startGateway(safeRoute, [[responds('busy', '429 Busy')]]);
    expect(await fixture.send()).toMatchObject({ body: 'busy', status: 429 });
  });
});
