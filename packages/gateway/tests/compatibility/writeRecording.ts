import type { AvailabilityZone, InstanceId } from '@zincring/core';
import type { AddressInfo } from 'node:net';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { createServer } from 'node:http';

import type { OwnedCreditReply } from '../../src/limits/ownedCredit.js';
import type { GatewayPeer } from '../../src/peers/gatewayPeer.js';
import type { OwnedTokensReply } from '../../src/programs/tokenAccounts.js';
import type { PermitReply } from '../../src/upstreams/permits/permitOwner.js';
import type { ReplicaRunId, SoftwareVersion } from '../../src/upstreams/replica.js';
import type { RecordedCall, RecordedRow, Recording } from './recording.js';

import { WorkspaceHistory } from '../../src/configuration/workspaceHistory.js';
import { StoreCreditSource } from '../../src/limits/storeCreditSource.js';
import { PeerClients } from '../../src/peers/peerClients.js';
import { PeerDirectory } from '../../src/peers/peerDirectory.js';
import { PEER_PATHS } from '../../src/peers/peerPaths.js';
import { encodeRelayedRequest, makeRelayPath } from '../../src/peers/relayProtocol.js';
import { StoreTokenAccounts } from '../../src/programs/storeTokenAccounts.js';
import { TurnStore } from '../../src/programs/turnStore.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { CRASH_TABLE, CrashRecord, identifyRequest } from '../../src/upstreams/crashRecord.js';
import { CrashTrials } from '../../src/upstreams/crashTrials.js';
import { StreamOrigins } from '../../src/upstreams/streamOrigins.js';
import { VersionHistory } from '../../src/upstreams/versionHistory.js';
import { VersionRecord } from '../../src/upstreams/versionRecord.js';
import { finishWithin } from '../support/finishWithin.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleConfiguration, sampleReplica, sampleRoute, sampleTurn } from '../support/samples.js';

const { signal } = new AbortController();

/** Bucket whose burst the recorded row has granted to a holder. */
export const recordedBucket = { burst: 20, name: 'clerks', ratePerSecond: 0.5 };
/** Demand of a turn of the program whose recorded account has room for no further turn. */
export const recordedDemand = {
  budget: 1_000,
  expiresAt: 4_102_444_800_000,
  hasEarlierTurns: false,
  maximumTokens: 575,
  program: 'clerks/program-1',
  reservation: 'run-1.0',
};
/** Request that has crashed three replicas. */
export const recordedPoison = sampleTurn('poison', {}, { body: Buffer.from('poison') });
/** First turn of a conversation; its output is one event with the data `answer`. */
export const recordedTurn = sampleTurn(
  'turn-1',
  {},
  { body: Buffer.from('first input\n'), route: sampleRoute({ storesTurns: true }) },
);
/** Stream that began at version v2. */
export const recordedStream = sampleTurn(
  'stream-1',
  {},
  { deadline: 60_000, route: sampleRoute({ isResumable: true }) },
);

/** Counts that each reply carries. */
const engineTurns = { engines: 2 };
/** What replies carry besides while replicas are uneven and the engines are busy. */
const uses = { replicaSlowness: [['r1@17', 2.5, 40]], workspaceTurns: { clerks: 3 } };
/** Replies of each kind; those of another instance have the same fields. */
const replies = {
  acquireOwned: [
    { isOverRate: true, kind: 'denied', retryAfterMilliseconds: 250 },
    { isOverRate: false, kind: 'granted' },
    { isOverRate: true, kind: 'pending' },
    { kind: 'without-store' },
  ] satisfies readonly OwnedCreditReply[],
  acquirePermit: [
    {
      announced: { ageMilliseconds: 40, requestsPerSecond: 2.5 },
      kind: 'denied',
      retryAfterMilliseconds: 400,
    },
    { announced: { ageMilliseconds: 7 }, delayMilliseconds: 20, kind: 'granted' },
  ] satisfies readonly PermitReply[],
  reserveOwned: [
    { kind: 'held', startsProgram: true },
    { kind: 'pending' },
    { kind: 'spent' },
    { kind: 'without-store' },
  ] satisfies readonly OwnedTokensReply[],
} as const;

/**
 * Writes one row of each table and one message of each kind with the parts of this build.
 *
 * @example
 * await writeFile('recordings/1a7a5bb.json', JSON.stringify(await writeRecording()));
 */
export async function writeRecording(): Promise<Recording> {
  return {
    calls: await writeCalls(),
    relay: {
      content: encodeRelayedRequest({
        body: Buffer.from('input'),
        headers: ['request-id', 'request-1'],
        isRepeatable: false,
        method: 'POST',
        path: '/summaries/7?full=1',
      }).toString(),
      outcomes: ['answered chunked', 'lost socket hang up', 'not-sent draining', 'unavailable cut'],
      path: makeRelayPath('r1@17' as ReplicaRunId),
    },
    rows: await writeRows(),
  };
}

async function writeRows(): Promise<readonly RecordedRow[]> {
  const timers = new ManualTimerService();
  const store = new MemoryTable(timers);
  const written: RecordedRow[] = [];
  const client = store.client();
  const table = new MonitoredTable(
    {
      ...client,
      transact: async transaction => {
        written.push(
          ...transaction.writes.map(write => ({ ...write, value: write.value.toString() })),
        );
        return await client.transact(transaction);
      },
    },
    timers,
  );
  const common = { logger: silentLogger, random: () => 0.5, table, timers };
  await writeRate(new StoreCreditSource({ ...common, holder: 'entry-9/run-1' }), timers);
  const accounts = new StoreTokenAccounts({ ...common, holder: 'entry-9/run-1' });
  await finishWithin(timers, accounts.reserve(recordedDemand, signal), 2_000);
  await writeTurn(new TurnStore({ ...common, rowBytes: 65_536 }), timers);
  writeCrashes(new CrashRecord(common));
  await timers.advance(100);
  await writeTrials(common, timers);
  await writeStream(common, timers);
  new PeerDirectory({
    run: 'entry-1/run-1',
    ...common,
    availabilityZone: 'nelson' as AvailabilityZone,
    connect: () => new PeerClients(silentLogger).at(''),
    instance: 'entry-9' as InstanceId,
    retain: () => undefined,
  }).start('10.1.0.9:7780');
  new WorkspaceHistory(common).record(sampleConfiguration(1));
  await timers.advance(2_000);
  // Builds take the keys of crashes from the rows and never compute them.
  const makeCrashKey = makeCounter('crash');
  return keepLast(written).map(row =>
    row.table === CRASH_TABLE ? { ...row, key: makeCrashKey() } : row,
  );
}

async function writeRate(credits: StoreCreditSource, timers: ManualTimerService): Promise<void> {
  for (let request = 0; request < 2 * recordedBucket.burst; request++) {
    await finishWithin(timers, credits.acquire(recordedBucket, signal), 2_000);
  }
}

async function writeTurn(turns: TurnStore, timers: ManualTimerService): Promise<void> {
  const composed = await finishWithin(timers, turns.compose(recordedTurn, signal), 2_000);
  const draft = composed.ok ? composed.val.turn : undefined;
  draft?.addOutput(Buffer.from('answer'));
  await finishWithin(timers, draft?.save(signal) ?? Promise.resolve(false), 2_000);
}

function writeCrashes(crashes: CrashRecord): void {
  const identity = identifyRequest(recordedPoison);
  for (const [index, replica] of ['r1', 'r2', 'r3'].entries()) {
    const sentAt = index * 10;
    crashes.record({ crashedAt: sentAt + 10, entry: sampleReplica(replica), identity, sentAt });
  }
}

/** Uses up the trials of a request. */
async function writeTrials(
  common: Omit<ConstructorParameters<typeof CrashTrials>[0], 'makeId' | 'record'>,
  timers: ManualTimerService,
): Promise<void> {
  const record = { findSuspect: identifyRequest };
  const trials = new CrashTrials({ ...common, makeId: makeCounter('trial'), record });
  for (let trial = 0; trial < 3; trial++) {
    const interrupted = async () => await Promise.resolve({ kind: 'interrupted' } as const);
    await finishWithin(timers, trials.run(recordedPoison, signal, interrupted), 2_000);
  }
}

async function writeStream(
  common: { readonly logger: typeof silentLogger; readonly table: MonitoredTable },
  timers: ManualTimerService,
): Promise<void> {
  const entries = ['v1', 'v2'].map(version =>
    sampleReplica(`of-${version}`, { softwareVersion: version as SoftwareVersion }),
  );
  const source = {
    ageMilliseconds: () => 0,
    interruptionCount: () => 0,
    listAll: () => entries,
    subscribe: () => undefined,
  };
  const versions = new VersionHistory(source, timers);
  versions.update();
  const versionRecord = new VersionRecord({ ...common, random: () => 0, timers, versions });
  versionRecord.start();
  await timers.advance(2_000);
  versionRecord.stop();
  const origins = new StreamOrigins({ ...common, timers, versionRecord, versions });
  await finishWithin(timers, origins.record(recordedStream, entries[1]!), 2_000);
}

/** Calls another instance with each message and records what arrives there. */
async function writeCalls(): Promise<readonly RecordedCall[]> {
  const bodies = new Map<string, string>();
  const server = createServer((request, response) => {
    let body = '';
    request.setEncoding('utf8');
    request.on('data', (chunk: string) => {
      body += chunk;
    });
    request.on('end', () => {
      bodies.set(request.url ?? '', body);
      response.end('{"kind":"without-store"}');
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const clients = new PeerClients(silentLogger);
  await sendAll(clients.at(`127.0.0.1:${String((server.address() as AddressInfo).port)}`));
  clients.close();
  server.close();
  server.closeAllConnections();
  const known: Readonly<Record<string, readonly object[]>> = {
    [PEER_PATHS.acquireCredit]: replies.acquireOwned,
    [PEER_PATHS.acquirePermit]: replies.acquirePermit,
    [PEER_PATHS.reserveTokens]: replies.reserveOwned,
  };
  return [...bodies].map(([path, body]) => ({
    body,
    path,
    replies: (known[path] ?? [{ isRecorded: true }]).map(reply =>
      JSON.stringify({ ...reply, engineTurns, ...uses }),
    ),
  }));
}

async function sendAll(peer: GatewayPeer): Promise<void> {
  const announced = { ageMilliseconds: 40, requestsPerSecond: 2.5 };
  const replica = 'r1@1' as ReplicaRunId;
  await peer.acquireOwned({ ...recordedBucket, slackShare: 0.5 });
  await peer.acquirePermit({ announced, maximumWaitMilliseconds: 300, replica });
  await peer.reportRate({ announced: { ageMilliseconds: 3 }, replica });
  await peer.reserveOwned(recordedDemand);
  await peer.settleOwned('run-1.7', 253);
}

function makeCounter(prefix: string): () => string {
  let count = 0;
  return () => `${prefix}-${String(count++)}`;
}

/** Keeps the last value of each row. */
function keepLast(rows: readonly RecordedRow[]): readonly RecordedRow[] {
  return [...new Map(rows.map(row => [`${row.table}/${row.partition}/${row.key}`, row])).values()];
}
