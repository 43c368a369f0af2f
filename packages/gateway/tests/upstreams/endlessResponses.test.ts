import { describe, expect, it } from 'vitest';

import type { EndlessPart } from '../support/fakeReplica.js';

import { responds, sendsWithoutEnd, streamsEvents } from '../support/fakeReplica.js';
import {
  countRuns,
  resumableRoute,
  safeRoute,
  startGateway,
  streamRoute,
  unsafeRoute,
  waitUntil,
} from '../support/gatewayFixture.js';

const endlessParts: readonly EndlessPart[] = [
  'blank lines',
  'body',
  'framed body',
  'header lines',
  'informational responses',
  'status line',
  'trailers',
];
const endlessStreamParts: readonly EndlessPart[] = [...endlessParts, 'event'];

/** Time within which bytes without end are recognized, in milliseconds: a fraction of the time that callers wait. */
const MAXIMUM_MILLISECONDS = 1_500;

describe('a response without end', () => {
  it.each(endlessParts)('never holds an unsafe request until its deadline: %s', async part => {
    const fixture = await startGateway(unsafeRoute, [[sendsWithoutEnd(part)]]);
    const startedAt = performance.now();
    expect((await fixture.send()).status).toBe(502);
    expect(performance.now() - startedAt).toBeLessThan(MAXIMUM_MILLISECONDS);
    expect(countRuns(fixture)).toBe(1);
    await waitUntil(() => fixture.replicas[0]!.closedConnections === 1);
  });

  it.each(endlessParts)('never keeps a safe request from another replica: %s', async part => {
    const fixture = await startGateway(safeRoute, [[sendsWithoutEnd(part)], [responds('done')]]);
    const responses = [await fixture.send(), await fixture.send()];
    expect(responses.map(({ body }) => body)).toEqual(['done', 'done']);
  });

  it.each(endlessStreamParts)('never looks like a complete stream: %s', async part => {
    const fixture = await startGateway(streamRoute, [[sendsWithoutEnd(part)]]);
    const response = await fixture.send();
    expect(response.status === 200 && response.isComplete).toBe(false);
    await waitUntil(() => fixture.replicas[0]!.closedConnections === 1);
  });

  it.each(endlessStreamParts)('never keeps a stream from another replica: %s', async part => {
    const fixture = await startGateway(resumableRoute, [
      [sendsWithoutEnd(part)],
      [streamsEvents([1, 2], 'whole')],
    ]);
    const response = await fixture.send();
    expect(response).toMatchObject({ isComplete: true, status: 200 });
    expect(response.body.match(/id: \d+/g)).toEqual(['id: 1', 'id: 2']);
  });

  it('is closed when it follows a refusal, whose request goes to another replica', async () => {
    const fixture = await startGateway(unsafeRoute, [
      [sendsWithoutEnd('refusal')],
      [responds('done')],
    ]);
    const responses = [await fixture.send(), await fixture.send()];
    expect(responses.map(({ body }) => body)).toEqual(['done', 'done']);
    const [endless] = fixture.replicas;
    await waitUntil(() => endless!.closedConnections === endless!.receivedRequests.length);
  });
});
