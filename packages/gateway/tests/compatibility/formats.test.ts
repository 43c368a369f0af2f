import type { AvailabilityZone, InstanceId } from '@zincring/core';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { beforeEach, describe, expect, it } from 'vitest';

import type { RequestId, TurnId } from '../../src/callers/requestFacts.js';
import type { Recording } from './recording.js';

import {
  WorkspaceHistory,
  workspaceHistoryAddress,
} from '../../src/configuration/workspaceHistory.js';
import { StoreCreditSource } from '../../src/limits/storeCreditSource.js';
import { PeerClients } from '../../src/peers/peerClients.js';
import { PeerDirectory } from '../../src/peers/peerDirectory.js';
import { PeerServer } from '../../src/peers/peerServer.js';
import {
  decodeRelayedRequest,
  readRelayOutcome,
  readRelayPath,
} from '../../src/peers/relayProtocol.js';
import { StoreTokenAccounts } from '../../src/programs/storeTokenAccounts.js';
import { TurnStore } from '../../src/programs/turnStore.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { CrashRecord, identifyRequest } from '../../src/upstreams/crashRecord.js';
import { CrashTrials, sweptTrials } from '../../src/upstreams/crashTrials.js';
import { StreamOrigins } from '../../src/upstreams/streamOrigins.js';
import { VersionHistory } from '../../src/upstreams/versionHistory.js';
import { makeOwner, makeRelayServer } from '../support/fakePeer.js';
import { finishWithin } from '../support/finishWithin.js';
import { MemoryTable } from '../support/memoryTable.js';
import { sampleConfiguration, sampleTurn } from '../support/samples.js';
import { startStranger } from '../support/startStranger.js';
import { describeFields } from './recording.js';
import {
  recordedBucket,
  recordedDemand,
  recordedPoison,
  recordedStream,
  recordedTurn,
  writeRecording,
} from './writeRecording.js';
import { makeListenerContext } from '../support/makeListenerContext.js';

const FOLDER = join(import.meta.dirname, 'recordings');
const builds = readdirSync(FOLDER).map(file => file.replace('.json', ''));
const { signal } = new AbortController();

function readRecording(build: string): Recording {
  return JSON.parse(readFileSync(join(FOLDER, `${build}.json`), 'utf8')) as Recording;
}

/** Parses a reply as the part that makes it: the server adds the counts of turns and what it tells of replicas. */
function parseWithoutCounts(reply: string): never {
  const fields = JSON.parse(reply) as Record<string, unknown>;
  delete fields['engineTurns'];
  delete fields['replicaSlowness'];
  delete fields['workspaceTurns'];
  return fields as never;
}

describe.each(builds)('rows that build %s wrote', build => {
  const { rows } = readRecording(build);
  let timers: ManualTimerService;
  let table: MonitoredTable;

  beforeEach(() => {
    timers = new ManualTimerService();
    const store = new MemoryTable(timers);
    rows.forEach(({ value, ...address }) => {
      store.put(address, value);
    });
    table = new MonitoredTable(store.client(), timers);
  });

  function makeCommon(): {
    logger: typeof silentLogger;
    random: () => number;
    table: MonitoredTable;
    timers: ManualTimerService;
  } {
    return { logger: silentLogger, random: () => 0.5, table, timers };
  }

  it('count as used credit', async () => {
    const credits = new StoreCreditSource({ ...makeCommon(), holder: 'entry-1/run-2' });
    const admission = await finishWithin(timers, credits.acquire(recordedBucket, signal), 2_000);
    expect(admission.err && admission.val.kind).toBe('rate-limited');
  });

  it('count as reserved tokens', async () => {
    const accounts = new StoreTokenAccounts({ ...makeCommon(), holder: 'entry-1/run-2' });
    const decision = await finishWithin(timers, accounts.reserve(recordedDemand, signal), 2_000);
    expect(decision.kind).toBe('spent');
  });

  it('are the history of a conversation', async () => {
    const turns = new TurnStore({ ...makeCommon(), rowBytes: 65_536 });
    const next = sampleTurn(
      'turn-2',
      { previousTurn: 'turn-1' as TurnId },
      { body: Buffer.from('second input'), route: recordedTurn.route },
    );
    const composed = await finishWithin(timers, turns.compose(next, signal), 2_000);
    expect(composed.ok && composed.val.body.toString()).toBe('first input\nanswer\nsecond input');
  });

  it('stop a request that crashes replicas', async () => {
    const crashes = new CrashRecord(makeCommon());
    crashes.start();
    await timers.advance(200);
    expect(crashes.check(recordedPoison)?.ran).toBe('no');
    crashes.stop();
  });

  it('leave no trial of a request that had all of them', async () => {
    const record = { findSuspect: identifyRequest };
    const trials = new CrashTrials({ ...makeCommon(), makeId: () => 'trial-9', record });
    let hasRun = false;
    const attempt = async () => {
      hasRun = true;
      return await Promise.resolve({ kind: 'interrupted' } as const);
    };
    await finishWithin(timers, trials.run(recordedPoison, signal, attempt), 2_000);
    // Builds up to f978bde write no trials.
    expect(hasRun).toBe(!rows.some(({ table: name }) => name === sweptTrials.table));
  });

  it('tell at which version a stream began', async () => {
    const source = {
      ageMilliseconds: () => 0,
      interruptionCount: () => 0,
      listAll: () => [],
      subscribe: () => undefined,
    };
    const versions = new VersionHistory(source, timers);
    const origins = new StreamOrigins({
      ...makeCommon(),
      versionRecord: {
        ensureListed: async () => await Promise.resolve(true),
        isListed: () => true,
        refresh: async () => await Promise.resolve(true),
      },
      versions,
    });
    const resumption = sampleTurn(
      'second',
      { lastEventId: '2', resumedRequest: 'stream-1' as RequestId },
      { route: recordedStream.route },
    );
    const version = await finishWithin(timers, origins.resolve(resumption), 2_000);
    expect(version.ok && version.val).toBe('v2');
  });

  it('tell whether there were workspaces', async () => {
    const history = new WorkspaceHistory(makeCommon());
    history.record(sampleConfiguration(1, { workspaces: undefined }));
    await timers.advance(100);
    const isRecorded = rows.some(row => row.table === workspaceHistoryAddress.table);
    expect(history.hadWorkspaces).toBe(isRecorded);
    history.stop();
  });

  it('name an instance that may own keys', async () => {
    const directory = new PeerDirectory({
      run: 'entry-1/run-1',
      ...makeCommon(),
      availabilityZone: 'nelson' as AvailabilityZone,
      connect: address => makeOwner(address).peer,
      instance: 'entry-1' as InstanceId,
      retain: () => undefined,
    });
    directory.start('10.1.0.1:7780');
    await timers.advance(3_000);
    expect(directory.addressesWhere(() => true)).toEqual(['10.1.0.9:7780']);
    await finishWithin(timers, directory.stop(), 1_000);
  });
});

describe.each(builds)('messages of build %s', build => {
  const { calls, relay } = readRecording(build);

  it.each(calls)('are read and answered ($path)', async ({ body, path, replies }) => {
    for (const reply of replies) {
      const answer = parseWithoutCounts(reply);
      const server = new PeerServer(
        {
          acquireOwned: async () => await Promise.resolve(answer),
          acquirePermit: async () => await Promise.resolve(answer),
          reportRate: async () => await Promise.resolve(true),
          reserveOwned: async () => await Promise.resolve(answer),
          settleOwned: async () => await Promise.resolve(true),
        },
        makeListenerContext(),
        makeRelayServer(),
      );
      await server.listen({ host: '127.0.0.1', port: 0 });
      const response = await fetch(`http://127.0.0.1:${String(server.port)}${path}`, {
        body,
        method: 'POST',
      });
      expect(response.status).toBe(200);
      const answered = describeFields(JSON.stringify({ ...(answer as object), engineTurns: {} }));
      expect(describeFields(await response.text())).toEqual(answered);
      server.close();
    }
  });

  it.each(calls.flatMap(({ path, replies }) => replies.map(reply => ({ path, reply }))))(
    'are understood as replies ($path, $reply)',
    async ({ path, reply }) => {
      const stranger = await startStranger(socket => {
        socket.once('data', () => {
          const head = `HTTP/1.1 200 OK\r\nContent-Length: ${String(reply.length)}\r\n\r\n`;
          socket.write(`${head}${reply}`);
        });
      });
      const counts: unknown[] = [];
      const uses: unknown[] = [];
      const clients = new PeerClients(
        silentLogger,
        each => counts.push(each),
        reports =>
          uses.push(
            reports.map(({ ageMilliseconds, ratio, run }) => [run, ratio, ageMilliseconds]),
          ),
        each => uses.push(Object.fromEntries(Object.entries(each))),
      );
      const peer = clients.at(`127.0.0.1:${String(stranger.port)}`);
      const announced = { ageMilliseconds: 0, requestsPerSecond: 1 };
      const send: Readonly<Record<string, () => Promise<unknown>>> = {
        '/acquire-credit': async () => await peer.acquireOwned(recordedBucket),
        '/acquire-permit': async () =>
          await peer.acquirePermit({ announced, maximumWaitMilliseconds: 0, replica: '' as never }),
        '/report-rate': async () => await peer.reportRate({ announced, replica: '' as never }),
        '/reserve-tokens': async () => await peer.reserveOwned(recordedDemand),
        '/settle-tokens': async () => await peer.settleOwned('run-1.7', 1),
      };
      const { engineTurns, replicaSlowness, workspaceTurns, ...expected } = JSON.parse(reply) as {
        readonly engineTurns?: object;
        readonly isRecorded?: boolean;
        readonly replicaSlowness?: object;
        readonly workspaceTurns?: object;
      };
      expect(await send[path]?.()).toEqual(expected.isRecorded ?? expected);
      expect(counts).toEqual(engineTurns === undefined ? [] : [engineTurns]);
      expect(uses).toEqual([replicaSlowness, workspaceTurns].filter(use => use !== undefined));
      clients.close();
      stranger.close();
    },
  );

  it('are relayed requests', () => {
    expect(readRelayPath(relay.path)).toBe('r1@17');
    expect(decodeRelayedRequest(Buffer.from(relay.content))).toEqual({
      body: Buffer.from('input'),
      headers: ['request-id', 'request-1'],
      isRepeatable: false,
      method: 'POST',
      path: '/summaries/7?full=1',
    });
    expect(relay.outcomes.map(outcome => readRelayOutcome(outcome).kind)).toEqual([
      'answered',
      'lost',
      'not-sent',
      'unavailable',
    ]);
  });
});

describe.each(builds)('what this build writes', build => {
  const recorded = readRecording(build);

  it(`stands where build ${build} looks, with every field that it reads`, async () => {
    const current = await writeRecording();
    for (const { key, partition, table, value } of recorded.rows) {
      const row = current.rows.find(
        each => each.table === table && each.partition === partition && each.key === key,
      );
      expect(describeFields(row?.value ?? '{}'), table).toEqual(
        expect.arrayContaining([...describeFields(value)]),
      );
    }
    for (const { body, path } of recorded.calls) {
      const call = current.calls.find(each => each.path === path);
      expect(describeFields(call?.body ?? '{}'), path).toEqual(
        expect.arrayContaining([...describeFields(body)]),
      );
    }
    expect(current.relay).toEqual(recorded.relay);
  });
});
