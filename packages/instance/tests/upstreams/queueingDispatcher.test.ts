import type {
  AvailabilityZone,
  CallId,
  InstanceId,
  ProgramId,
  ServiceName,
  UpstreamId,
  WorkspaceName,
} from '@zincring/core';

import { discardingMetrics, ManualTimerService, Ok, silentLogger } from '@zincring/core';
import { createConfiguration, parseRules } from '@zincring/rules';
import { describe, expect, it } from 'vitest';

import type { EngineControlClient } from '../../src/upstreams/engineControlClient.js';
import type { ReplicaSender } from '../../src/upstreams/replicaSender.js';
import type { Replica } from '../../src/upstreams/replicaTable.js';
import type { UpstreamFrame, UpstreamWork } from '../../src/upstreams/upstreamMessages.js';

import { UpstreamFailure } from '../../src/upstreams/upstreamFailure.js';
import { Upstreams } from '../../src/upstreams/upstreams.js';
import { upstreamSettings } from './upstreamSettings.js';

const engineService = 'minutes-llm' as ServiceName;
const plainService = 'ticket-app' as ServiceName;

const rules = parseRules(`
workspace utility rate=100 burst=100 # dana: pilot
service minutes-llm protocol=engine timeout=30 # omar: models
service ticket-app protocol=plain idempotent=no timeout=30 # omar: work orders
`).unwrap();
const configuration = createConfiguration(1 as never, rules);

type Reaction = 'answer' | 'die' | 'die-after-data' | 'hang' | 'refuse-connection' | 'fail';

/** Upstreams with scripted reactions; records the work sent by all instances. */
class FakeUpstreams implements ReplicaSender {
  public readonly sent: { readonly replica: UpstreamId; readonly call: CallId }[] = [];
  public react: (replica: Replica, work: UpstreamWork) => Reaction = () => 'answer';
  /** Whether replicas that die have crashed, or their responses were lost on the way. */
  public haveCrashed = true;

  public async *send(replica: Replica, work: UpstreamWork): AsyncGenerator<UpstreamFrame> {
    const reaction = this.react(replica, work);
    if (reaction === 'refuse-connection') {
      throw new UpstreamFailure('unsent', 'refused');
    }
    this.sent.push({ call: work.call, replica: replica.id });
    switch (reaction) {
      case 'die':
        throw new UpstreamFailure('died', 'reset');
      case 'fail':
        throw new UpstreamFailure('failed', 'status 500');
      case 'hang':
        await new Promise(resolve => {
          work.signal.addEventListener('abort', resolve);
        });
        throw new UpstreamFailure('timed-out', 'aborted');
      case 'die-after-data':
        yield { data: Buffer.from('par'), kind: 'data' };
        throw new UpstreamFailure('died', 'reset');
      case 'answer':
        yield { data: Buffer.from('whole'), kind: 'data' };
        yield {
          kind: 'done',
          usage: { cachedTokens: 0, outputTokens: 2, promptTokens: 3 },
        };
    }
  }
}

/** Starts instances that share upstreams and receive each other's gossip immediately. */
function startInstances(count: number, replicas = 4) {
  const timers = new ManualTimerService();
  const upstreams = new FakeUpstreams();
  const names = Array.from({ length: count }, (_, index) => `entry-${index + 1}` as InstanceId);
  const instances: Upstreams[] = [];
  for (const self of names) {
    const instance: Upstreams = new Upstreams({
      goneProgramFinder: { findGone: async () => Promise.resolve([]) },
      configuration: () => configuration,
      crashProbe: { hasCrashed: async () => Promise.resolve(upstreams.haveCrashed) },
      instances: () => new Set(names),
      logger: silentLogger,
      metrics: discardingMetrics,
      engineControl: {
        readCacheEvents: async () => Promise.resolve(Ok({ events: [], next: 0 })),
        readLoad: async () => Promise.resolve(Ok({ cachedTokens: 0, running: 0, waiting: 0 })),
      } as unknown as EngineControlClient,
      self,
      sender: upstreams,
      settings: upstreamSettings,
      publishGossip: async () => {
        for (const participant of instance.gossipParticipants) {
          const value = participant.createUpdate();
          for (const other of instances) {
            if (value !== undefined && other !== instance) {
              other.gossipParticipants
                .find(each => each.key === participant.key)
                ?.applyUpdate(self, value);
            }
          }
        }
        return Promise.resolve();
      },
      timers,
      zone: 'nelson' as AvailabilityZone,
    });
    instance.updateDirectory(
      [engineService, plainService].flatMap(service =>
        Array.from({ length: replicas }, (_, index) => ({
          address: '127.0.0.1:1',
          id: `${service}-${index + 1}`,
          role: { kind: 'upstream', service } as const,
          state: 'live' as const,
          zone: 'nelson' as AvailabilityZone,
        })),
      ),
    );
    instances.push(instance);
  }
  return { instances, timers, upstreams };
}

function createWork(service: ServiceName, overrides: Partial<UpstreamWork> = {}): UpstreamWork {
  const isEngine = service === engineService;
  return {
    attainedTokens: 0,
    beforeSend: async () => Promise.resolve(Ok(undefined)),
    call: 'call-1' as CallId,
    isIdempotent: isEngine,
    payload: isEngine
      ? { maxTokens: 4, protocol: 'engine', segments: ['question'] }
      : {
          body: Buffer.from('{}'),
          contentType: 'application/json',
          method: 'POST',
          path: '/orders',
          protocol: 'plain',
        },
    program: 'program-1' as ProgramId,
    rule: configuration.services.get(service)!,
    service,
    signal: new AbortController().signal,
    timeoutMilliseconds: 30_000,
    workspace: 'utility' as WorkspaceName,
    ...overrides,
  };
}

/** Runs work to its end while time advances; returns the outcome and the received text. */
async function runToEnd(
  fleet: ReturnType<typeof startInstances>,
  instance: number,
  work: UpstreamWork,
): Promise<{ readonly end: string; readonly ran: string | undefined; readonly text: string }> {
  let text = '';
  let end = 'none';
  let ran: string | undefined;
  const running = (async () => {
    for await (const frame of fleet.instances[instance]!.dispatcher.dispatch(work)) {
      if (frame.kind === 'data') {
        text += Buffer.from(frame.data).toString();
      }
      if (frame.kind === 'failed') {
        end = frame.error.kind;
        ran = frame.error.ran;
      }
      if (frame.kind === 'done') {
        end = 'done';
      }
    }
  })();
  for (let second = 0; second < 120 && end === 'none'; second++) {
    await fleet.timers.advance(1_000);
  }
  await running;
  return { end, ran, text };
}

describe('dispatch of idempotent work', () => {
  it.each<{ reaction: Reaction; end: string; sends: number }>([
    { end: 'done', reaction: 'die', sends: 2 },
    { end: 'done', reaction: 'fail', sends: 2 },
    { end: 'done', reaction: 'refuse-connection', sends: 1 },
    { end: 'upstream-failed', reaction: 'die-after-data', sends: 1 },
  ])('ends with $end after one upstream reacts with $reaction', async each => {
    const fleet = startInstances(1);
    await fleet.timers.advance(2_000);
    let reactions = 0;
    fleet.upstreams.react = () => (reactions++ === 0 ? each.reaction : 'answer');
    const result = await runToEnd(fleet, 0, createWork(engineService));
    expect(result.end).toBe(each.end);
    expect(fleet.upstreams.sent).toHaveLength(each.sends);
  });

  it('refuses immediately if there is no replica', async () => {
    const fleet = startInstances(1, 0);
    expect(await runToEnd(fleet, 0, createWork(engineService))).toMatchObject({
      end: 'upstream-unavailable',
      ran: 'no',
    });
  });

  it('does not report that nothing ran after an attempt that was sent', async () => {
    const fleet = startInstances(1, 1);
    await fleet.timers.advance(2_000);
    fleet.upstreams.react = () => 'fail';
    const result = await runToEnd(fleet, 0, createWork(engineService));
    expect(fleet.upstreams.sent).toHaveLength(1);
    expect(result.ran).not.toBe('no');
  });

  it('ends a hanging call at its timeout', async () => {
    const fleet = startInstances(1);
    fleet.upstreams.react = () => 'hang';
    const signal = new AbortController();
    fleet.timers.after(5_000, () => {
      signal.abort();
    });
    const work = createWork(engineService, { signal: signal.signal, timeoutMilliseconds: 5_000 });
    expect(await runToEnd(fleet, 0, work)).toMatchObject({
      end: 'deadline-exceeded',
      ran: 'maybe',
    });
    expect(fleet.timers.now()).toBeLessThanOrEqual(6_000);
  });
});

describe('dispatch of non-idempotent work', () => {
  it.each<{ reaction: Reaction; end: string; ran: string | undefined; sends: number }>([
    { end: 'call-outcome-unknown', ran: 'maybe', reaction: 'die', sends: 1 },
    { end: 'call-outcome-unknown', ran: 'maybe', reaction: 'fail', sends: 1 },
    { end: 'call-outcome-unknown', ran: 'maybe', reaction: 'die-after-data', sends: 1 },
    { end: 'done', ran: undefined, reaction: 'refuse-connection', sends: 1 },
  ])('ends with $end after one upstream reacts with $reaction', async each => {
    const fleet = startInstances(1);
    await fleet.timers.advance(2_000);
    let reactions = 0;
    fleet.upstreams.react = () => (reactions++ === 0 ? each.reaction : 'answer');
    const result = await runToEnd(fleet, 0, createWork(plainService));
    expect(result).toMatchObject({ end: each.end, ran: each.ran });
    expect(fleet.upstreams.sent).toHaveLength(each.sends);
  });

  it('reports that nothing ran if every connection is refused', async () => {
    const fleet = startInstances(1);
    fleet.upstreams.react = () => 'refuse-connection';
    const result = await runToEnd(fleet, 0, createWork(plainService));
    expect(result).toMatchObject({ end: 'upstream-unavailable', ran: 'no' });
    expect(fleet.upstreams.sent).toHaveLength(0);
  });
});

describe('poison requests', () => {
  const poisoned = { call: 'poison' as CallId };

  it('refuses a request after two crashes, even if resent through every instance', async () => {
    const fleet = startInstances(13);
    await fleet.timers.advance(2_000);
    fleet.upstreams.react = () => 'die';
    const ends: string[] = [];
    for (let resend = 0; resend < 26; resend++) {
      const call = `poison-${resend}` as CallId;
      const result = await runToEnd(fleet, resend % 13, createWork(engineService, { call }));
      expect(result.ran).toBe('maybe');
      ends.push(result.end);
    }
    expect(fleet.upstreams.sent).toHaveLength(2);
    expect(ends.at(-1)).toBe('poison-request');
  });

  it('does not refuse a request whose responses were lost by replicas that run on', async () => {
    const fleet = startInstances(2);
    await fleet.timers.advance(2_000);
    fleet.upstreams.haveCrashed = false;
    fleet.upstreams.react = () => 'die-after-data';
    for (let resend = 0; resend < 4; resend++) {
      await runToEnd(fleet, resend % 2, createWork(engineService, poisoned));
    }
    fleet.upstreams.react = () => 'answer';
    expect(await runToEnd(fleet, 1, createWork(engineService))).toMatchObject({ end: 'done' });
  });

  it('does not refuse other requests', async () => {
    const fleet = startInstances(2);
    await fleet.timers.advance(2_000);
    fleet.upstreams.react = (_, work) => (work.call === poisoned.call ? 'die' : 'answer');
    await runToEnd(fleet, 0, createWork(engineService, poisoned));
    const other = createWork(engineService, {
      payload: { maxTokens: 4, protocol: 'engine', segments: ['another question'] },
    });
    expect(await runToEnd(fleet, 1, other)).toMatchObject({ end: 'done', text: 'whole' });
  });

  it('runs the request again after the quarantine', async () => {
    const fleet = startInstances(2);
    await fleet.timers.advance(2_000);
    fleet.upstreams.react = () => 'die';
    await runToEnd(fleet, 0, createWork(engineService, poisoned));
    await runToEnd(fleet, 1, createWork(engineService, poisoned));
    fleet.upstreams.react = () => 'answer';
    expect(await runToEnd(fleet, 1, createWork(engineService))).toMatchObject({
      end: 'poison-request',
    });
    await fleet.timers.advance(600_000);
    expect(await runToEnd(fleet, 1, createWork(engineService))).toMatchObject({ end: 'done' });
  });
});

describe('retries of all instances together', () => {
  it('stay within the retry budget while all replicas of a service fail', async () => {
    const fleet = startInstances(13);
    fleet.upstreams.react = () => 'fail';
    const requests = 650;
    const startedAt = fleet.timers.now();
    for (let request = 0; request < requests; request++) {
      const work = createWork(engineService, {
        call: `call-${request}` as CallId,
        payload: { maxTokens: 1, protocol: 'engine', segments: [`question ${request}`] },
        timeoutMilliseconds: 1_000,
      });
      await runToEnd(fleet, request % 13, work);
    }
    const seconds = (fleet.timers.now() - startedAt) / 1_000;
    const { retryReservePerSecond, retryShare } = upstreamSettings;
    const retries = fleet.upstreams.sent.length - requests;
    expect(retries).toBeLessThanOrEqual(requests * retryShare + seconds * retryReservePerSecond);
  });
});
