import { describe, expect, it } from 'vitest';

import { countRuns, startGateway } from '../../support/gatewayFixture.js';
import { routeCases } from '../../support/routeCases.js';

const REQUESTS = 30;
const COLD_MILLISECONDS = 60_000;
const warmUp = { milliseconds: COLD_MILLISECONDS, requestsPerSecond: 2 };
/** Requests that two replicas may get in the time of a test: the owner of a fresh fleet grants a quarter of the rate. */
const MOST_RUNS = 4;

describe('requests to cold replicas', () => {
  it.each(routeCases)(
    'are limited on %s, and the others are refused',
    async (_name, route, behaviour) => {
      const fixture = await startGateway(route, [[behaviour], [behaviour]], {
        coldMilliseconds: [COLD_MILLISECONDS, COLD_MILLISECONDS],
        warmUp,
      });
      const responses = await Promise.all(
        Array.from({ length: REQUESTS }, async () => await fixture.send({ body: 'input' })),
      );
      const served = responses.filter(({ status }) => status === 200).length;
      expect(served).toBe(countRuns(fixture));
      expect(served).toBeGreaterThan(0);
      expect(served).toBeLessThanOrEqual(MOST_RUNS);
      expect(responses.filter(({ status }) => status === 503)).toHaveLength(REQUESTS - served);
    },
  );
});
