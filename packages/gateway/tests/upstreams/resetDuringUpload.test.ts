import { describe, expect, it } from 'vitest';

import type { ConnectionEnd } from '../support/fakeReplica.js';

import {
  inOrder,
  respondsUnframed,
  streamsEvents,
  streamsUnframed,
  withBodyUnread,
} from '../support/fakeReplica.js';
import {
  countRuns,
  resumableRoute,
  safeRoute,
  startGateway,
  streamRoute,
  unsafeRoute,
} from '../support/gatewayFixture.js';

/** Size of an upload that waits for room while nobody reads it, in bytes. */
const UPLOAD_BYTES = 12_000_000;
const upload = { body: 'x'.repeat(UPLOAD_BYTES) };
const options = { maximumBodyBytes: UPLOAD_BYTES };
const resets: readonly ConnectionEnd[] = ['immediate-reset', 'reset'];
const orderlyEnds: readonly ConnectionEnd[] = ['close', 'close-and-reset'];
const part = 'x'.repeat(650);
const LARGE_PART_BYTES = 60_000;

// Guards against: a part that arrived with a reset, during an upload, reached callers as a whole response.
describe('an unframed response to an upload that its replica does not read', () => {
  it.each(resets)('is broken off if it ends by %s', async end => {
    const fixture = await startGateway(
      unsafeRoute,
      [[withBodyUnread(respondsUnframed(part, end))]],
      options,
    );
    expect((await fixture.send(upload)).status).toBe(502);
    expect(countRuns(fixture)).toBe(1);
  });

  it.each(resets)('leads to a run at another replica if it ends by %s', async end => {
    const behaviour = inOrder(respondsUnframed(part, end), respondsUnframed('all', 'close'));
    const replica = [withBodyUnread(behaviour)];
    const fixture = await startGateway(safeRoute, [replica, replica], options);
    expect(await fixture.send(upload)).toMatchObject({ body: 'all', status: 200 });
    expect(countRuns(fixture)).toBe(2);
  });

  it.each(orderlyEnds)('is whole if it ends by %s', async end => {
    const fixture = await startGateway(
      unsafeRoute,
      [[withBodyUnread(respondsUnframed(part, end))]],
      options,
    );
    expect(await fixture.send(upload)).toMatchObject({ body: part, isComplete: true, status: 200 });
  });

  it.each(resets)('is a stream that is broken off if it ends by %s', async end => {
    const fixture = await startGateway(
      streamRoute,
      [[withBodyUnread(streamsUnframed([1, 2], end))]],
      options,
    );
    const response = await fixture.send(upload);
    expect(response.status === 200 && response.isComplete).toBe(false);
  });

  it.each(resets)('is a stream that another replica goes on with if it ends by %s', async end => {
    const behaviour = inOrder(streamsUnframed([1, 2], end), streamsEvents([3], 'whole'));
    const replica = [withBodyUnread(behaviour)];
    const fixture = await startGateway(resumableRoute, [replica, replica], options);
    const response = await fixture.send(upload);
    expect(response.body.match(/id: \d+/g)).toEqual(['id: 1', 'id: 2', 'id: 3']);
    expect(response.isComplete).toBe(true);
  });

  it.each(orderlyEnds)('is a whole stream if it ends by %s', async end => {
    const fixture = await startGateway(
      streamRoute,
      [[withBodyUnread(streamsUnframed([1, 2], end))]],
      options,
    );
    expect(await fixture.send(upload)).toMatchObject({ isComplete: true, status: 200 });
  });

  it.each([...resets, ...orderlyEnds])(
    'is whole only after an orderly end, if it is as large as what is read at once: %s',
    async end => {
      const largePart = 'x'.repeat(LARGE_PART_BYTES);
      const fixture = await startGateway(
        unsafeRoute,
        [[withBodyUnread(respondsUnframed(largePart, end))]],
        options,
      );
      const { body, status } = await fixture.send(upload);
      const isOrderly = orderlyEnds.includes(end);
      expect(status).toBe(isOrderly ? 200 : 502);
      expect(body === largePart).toBe(isOrderly);
    },
  );
});
