import { createLogger } from '@zincring/core';
import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';
import type { GatewayFixture, ReceivedResponse } from '../support/gatewayFixture.js';

import {
  resetsConnection,
  responds,
  streamsEvents,
  truncatesBody,
} from '../support/fakeReplica.js';
import {
  countRuns,
  resumableRoute,
  safeRoute,
  startGateway,
  streamRoute,
  waitUntil,
} from '../support/gatewayFixture.js';

const REPLICAS = 5;

// Guards against: a request that crashed replicas after their first event was never refused (review/5).
describe('a request that crashes replicas', () => {
  it.each([
    ['its own input, before the head', undefined, false],
    ['its history and input, before the head', 'turn-a', false],
    ['its own input, midway', undefined, true],
    ['its history and input, midway', 'turn-a', true],
  ])('is refused after the third: %s', async (_name, previousTurn, hasBegun) => {
    let crashes = 0;
    const logger = createLogger(
      'info',
      {},
      { write: line => (crashes += line.includes('"replica-crashed"') ? 1 : 0) },
    );
    const behave =
      (replica: number): Behaviour =>
      (socket, request) => {
        if (!request.body.includes('poison')) {
          streamsEvents([1], 'whole')(socket, request);
          return;
        }
        if (hasBegun) {
          streamsEvents([1], 'stall')(socket, request);
        }
        setTimeout(() => {
          fixture.replicas[replica]!.stop();
        }, 10);
      };
    const fixture: GatewayFixture = await startGateway(
      { ...streamRoute, storesTurns: true },
      Array.from({ length: REPLICAS }, (_unused, replica) => [behave(replica)]),
      { logger },
    );
    await fixture.send({ body: 'hello', headers: { 'request-id': 'turn-a' } });
    const ends: string[] = [];
    for (let repetition = 1; repetition <= 4; repetition++) {
      const headers = {
        'request-id': `poison-${String(repetition)}`,
        ...(previousTurn === undefined ? {} : { 'previous-turn': previousTurn }),
      };
      ends.push(describeEnd(await fixture.send({ body: 'poison', headers })));
      await waitUntil(() => crashes >= Math.min(3, repetition));
    }
    expect(ends).toEqual(['broken', 'broken', 'broken', 'refused']);
    expect(countRuns(fixture)).toBe(4);
  });
});

describe('a path whose answers are lost', () => {
  it.each<[string, typeof safeRoute, Behaviour]>([
    ['before the head', safeRoute, resetsConnection],
    ['after the head', safeRoute, truncatesBody],
    ['within a stream', resumableRoute, streamsEvents([1], 'break')],
  ])('is not refused, when they are lost %s', async (_name, route, losesAnswer) => {
    const behaviour = route.kind === 'streaming' ? streamsEvents([1], 'whole') : responds('done');
    const fixture = await startGateway({ ...route, maximumAttempts: 1 }, [
      [losesAnswer, losesAnswer, losesAnswer, losesAnswer, behaviour],
    ]);
    const ends: string[] = [];
    for (let repetition = 1; repetition <= 5; repetition++) {
      ends.push(describeEnd(await fixture.send({ method: 'GET' })));
    }
    expect(ends).toEqual(['broken', 'broken', 'broken', 'broken', 'served']);
    expect(countRuns(fixture)).toBe(5);
  });
});

function describeEnd({ isComplete, status }: ReceivedResponse): 'broken' | 'refused' | 'served' {
  if (status === 503) {
    return 'refused';
  }
  return isComplete && status === 200 ? 'served' : 'broken';
}
