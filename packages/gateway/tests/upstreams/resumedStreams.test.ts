import type { PartitionedTable } from '@zincring/platform';

import { Err, Ok } from '@zincring/core';
import { PlatformError } from '@zincring/platform';
import { describe, expect, it } from 'vitest';

import type { Behaviour } from '../support/fakeReplica.js';
import type { GatewayFixture, ReceivedResponse } from '../support/gatewayFixture.js';

import { sweptStreams } from '../../src/upstreams/streamOrigins.js';
import { streamsEvents } from '../support/fakeReplica.js';
import { resumableRoute, startGateway } from '../support/gatewayFixture.js';
import { replicaTable } from '../support/samples.js';

const breaksFirstRun: Behaviour = (socket, request) => {
  const isResumed = request.headers.has('last-event-id');
  const respond = isResumed ? streamsEvents([3], 'whole') : streamsEvents([1, 2], 'break');
  respond(socket, request);
};

/** Returns the versions whose replicas ran a request, in the order in which they received it. */
function listVersions(
  { replicas }: GatewayFixture,
  softwareVersions: readonly string[],
  ids: readonly string[],
): readonly string[] {
  return ids.flatMap(id =>
    replicas.flatMap((replica, index) =>
      replica.receivedRequests
        .filter(({ headers }) => headers.get('request-id') === id)
        .map(() => softwareVersions[index] ?? ''),
    ),
  );
}

async function beginStream(fixture: GatewayFixture, id: string): Promise<ReceivedResponse> {
  return await fixture.send({ body: 'input', headers: { 'request-id': id } });
}

/** Sends requests until one begins a stream, which then breaks off, and returns its id: in a slow store none may begin. */
async function beginBrokenStream(fixture: GatewayFixture): Promise<string> {
  for (let request = 0; ; request++) {
    const id = `first-${String(request)}`;
    const response = await beginStream(fixture, id).catch(() => undefined);
    if (response?.status === 200) {
      expect(response.isComplete).toBe(false);
      return id;
    }
  }
}

async function takeUp(
  fixture: GatewayFixture,
  id: string,
  resumes: string | undefined,
): Promise<ReceivedResponse> {
  const headers = {
    'last-event-id': '2',
    'request-id': id,
    ...(resumes === undefined ? {} : { resumes }),
  };
  return await fixture.send({ body: 'input', headers });
}

/** Makes the first replica leave, and waits until the instance sends new streams to others. */
async function drainFirstReplica(fixture: GatewayFixture): Promise<void> {
  fixture.drainReplica(0);
  const [first] = fixture.replicas;
  for (let probe = 0; ; probe++) {
    const before = first!.receivedRequests.length;
    await beginStream(fixture, `probe-${String(probe)}`);
    if (first!.receivedRequests.length === before) {
      return;
    }
  }
}

/** Refuses the records of streams, and nothing else. */
function refuseStreamRecords(table: PartitionedTable): PartitionedTable {
  return {
    ...table,
    transact: async transaction =>
      transaction.writes[0]?.table === sweptStreams.table
        ? Err(new PlatformError('unavailable', 'streams are refused'))
        : await table.transact(transaction),
  };
}

/** Withholds from one instance the changes of the replicas while a condition holds. */
function holdBackReplicas(table: PartitionedTable, isHeld: () => boolean): PartitionedTable {
  return {
    ...table,
    changes: async request => {
      const result = await table.changes(request);
      return request.table === replicaTable && isHeld()
        ? Ok({ changes: [], kind: 'changes' })
        : result;
    },
  };
}

describe('streams while replicas of several software versions serve', () => {
  const softwareVersions = ['v1', 'v2', 'v1', 'v2'];
  const singleAttemptRoute = { ...resumableRoute, maximumAttempts: 1 };
  const makeBehaviours = (count: number): Behaviour[][] =>
    Array.from({ length: count }, () => [breaksFirstRun]);

  it('never go on at another version within one response', async () => {
    const fixture = await startGateway(resumableRoute, makeBehaviours(4), { softwareVersions });
    const response = await beginStream(fixture, 'stream');
    expect(response).toMatchObject({ isComplete: true, status: 200 });
    expect(listVersions(fixture, softwareVersions, ['stream'])).toEqual(['v1', 'v1']);
  });

  it('never go on at another version when callers take them up at another instance', async () => {
    const fixture = await startGateway(singleAttemptRoute, makeBehaviours(4), { softwareVersions });
    const other = await fixture.startInstance();
    const first = await beginBrokenStream(fixture);
    await drainFirstReplica(other);
    const response = await takeUp(other, 'second', first);
    expect(response).toMatchObject({ isComplete: true, status: 200 });
    expect(listVersions(fixture, softwareVersions, [first, 'second'])).toEqual(['v1', 'v1']);
  });

  it('never go on at another version when no replica of their version is left', async () => {
    const fixture = await startGateway(singleAttemptRoute, makeBehaviours(2), { softwareVersions });
    const first = await beginBrokenStream(fixture);
    await drainFirstReplica(fixture);
    expect((await takeUp(fixture, 'second', first)).status).toBe(503);
    expect(listVersions(fixture, softwareVersions, [first, 'second'])).toEqual(['v1']);
  });

  it('never begin at a version that could not be recorded', async () => {
    const fixture = await startGateway(resumableRoute, makeBehaviours(4), {
      softwareVersions,
      wrapTable: refuseStreamRecords,
    });
    const response = await beginStream(fixture, 'first');
    expect(response).toMatchObject({ status: 502 });
    expect(response.body).not.toContain('piece');
    expect(listVersions(fixture, softwareVersions, ['first'])).toEqual(['v1', 'v1']);
  });

  it.each([
    ['no request', undefined],
    ['a request that is not known', 'unknown'],
  ])(
    'never go on at a version that is guessed when the caller names %s',
    async (_name, resumes) => {
      const fixture = await startGateway(resumableRoute, makeBehaviours(4), { softwareVersions });
      expect((await takeUp(fixture, 'second', resumes)).status).toBe(503);
      expect(listVersions(fixture, softwareVersions, ['second'])).toEqual([]);
    },
  );

  it('never go on at an instance that has not heard of their version when the caller does not name them', async () => {
    let instances = 0;
    let isHeld = false;
    const route = { ...singleAttemptRoute, timeoutMilliseconds: 1_000 };
    const fixture = await startGateway(route, makeBehaviours(2), {
      softwareVersions,
      wrapTable: table => (++instances === 2 ? holdBackReplicas(table, () => isHeld) : table),
    });
    const outOfStep = await fixture.startInstance();
    fixture.removeReplica(1);
    await new Promise(resolve => setTimeout(resolve, 7_500));
    isHeld = true;
    fixture.restoreReplica(1);
    await drainFirstReplica(fixture);
    await beginStream(fixture, 'first');
    expect((await takeUp(outOfStep, 'second', undefined)).status).toBe(503);
    expect(listVersions(fixture, softwareVersions, ['first', 'second'])).toEqual(['v2']);
  });

  it('go on without a recorded version once the store tells that a single one served, at an instance that has just started', async () => {
    const route = { ...resumableRoute, timeoutMilliseconds: 1_000 };
    const fixture = await startGateway(route, makeBehaviours(2));
    const statuses: number[] = [];
    while (statuses.at(-1) !== 200) {
      const restarted = await fixture.startInstance();
      const id = `second-${String(statuses.length)}`;
      statuses.push((await takeUp(restarted, id, 'unknown')).status);
      await new Promise(resolve => setTimeout(resolve, 500));
    }
    expect(statuses[0]).toBe(503);
  });
});
