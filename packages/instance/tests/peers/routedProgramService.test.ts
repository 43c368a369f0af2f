import type { HistoryDigest, KeyHash, ProgramId, WorkspaceName } from '@zincring/core';
import type { CallFrame as CallFrameMessage, CallRequest as CallMessage } from '@zincring/protocol';

import { create } from '@bufbuild/protobuf';
import { Code, ConnectError, createClient, createRouterTransport } from '@connectrpc/connect';
import { ManualTimerService } from '@zincring/core';
import { CallFrameSchema, PeerService, Ran } from '@zincring/protocol';
import { Membership } from '@zincring/coordination';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import type { CallFrame, CallRequest, ProgramService } from '../../src/programs/programMessages.js';
import type { PeerClients } from '../../src/peers/peerClients.js';

import { RoutedProgramService } from '../../src/peers/routedProgramService.js';
import { ShardLocations } from '../../src/peers/shardLocations.js';

/**
 * Fault of one attempt: `cut` breaks the stream after some frames, `drop`, `repeat` and `swap`
 * change the sequence of frames, `refuse` refuses the call, and `remake` makes the home send other
 * bytes from then on.
 */
type Fault =
  | { readonly kind: 'cut'; readonly after: number }
  | { readonly kind: 'drop'; readonly frame: number }
  | { readonly kind: 'refuse' }
  | { readonly kind: 'remake' }
  | { readonly kind: 'repeat'; readonly frame: number }
  | { readonly kind: 'swap'; readonly frame: number };

const HANDOVER_WAIT_MILLISECONDS = 2_000;
const CLOSED = { digest: 'd', durable: true, turn: 1 };

const request: CallRequest = {
  body: new Uint8Array(),
  call: 'call-1' as CallRequest['call'],
  fromOffset: 0,
  isAttachOnly: false,
  keyHash: '' as KeyHash,
  maxTokens: 1,
  method: 'POST',
  parentCall: undefined,
  path: '/',
  program: 'program-1' as ProgramId,
  service: 'minutes-llm' as CallRequest['service'],
  timeoutMilliseconds: 60_000,
  turn: 1,
  workspace: 'utility' as WorkspaceName,
};

function framesOf(parts: readonly Uint8Array[]): CallFrameMessage[] {
  let offset = 0;
  const frames = parts.map(data => {
    const frame = create(CallFrameSchema, {
      frame: { case: 'data', value: data },
      offset: BigInt(offset),
    });
    offset += data.length;
    return frame;
  });
  const closed = { case: 'closed', value: CLOSED } as const;
  return [...frames, create(CallFrameSchema, { frame: closed, offset: BigInt(offset) })];
}

/** Home that applies one fault of a list to each attempt, and none after the end of the list. */
class FaultyHome {
  public attempts = 0;
  public starts = 0;
  private isResponseChanged = false;

  public constructor(
    private readonly parts: readonly Uint8Array[],
    private readonly faults: readonly Fault[],
  ) {}

  public *call(message: CallMessage): Generator<CallFrameMessage> {
    const fault = this.faults[this.attempts++];
    this.starts += message.attachOnly ? 0 : 1;
    if (fault?.kind === 'refuse') {
      const error = { kind: 'shard-unavailable', ran: Ran.NO, retryAfterSeconds: 2 };
      yield create(CallFrameSchema, { frame: { case: 'error', value: error } });
      return;
    }
    this.isResponseChanged ||= fault?.kind === 'remake';
    const parts = this.isResponseChanged
      ? this.parts.map(part => part.map(byte => byte ^ 1))
      : this.parts;
    yield* applyFault(framesOf(parts), fault);
  }
}

function* applyFault(
  frames: CallFrameMessage[],
  fault: Fault | undefined,
): Generator<CallFrameMessage> {
  if (fault?.kind === 'cut') {
    yield* frames.slice(0, fault.after % frames.length);
    throw new ConnectError('cut', Code.Unavailable);
  }
  const frameIndex = fault !== undefined && 'frame' in fault ? fault.frame % frames.length : 0;
  if (fault?.kind === 'drop') {
    frames.splice(frameIndex, 1);
  }
  if (fault?.kind === 'repeat') {
    frames.splice(frameIndex, 0, ...frames.slice(Math.max(0, frameIndex - 1), frameIndex + 1));
  }
  if (fault?.kind === 'swap') {
    frames.push(...frames.splice(frameIndex, 1));
  }
  yield* frames;
}

function createRoutedService(home: FaultyHome, timers: ManualTimerService): RoutedProgramService {
  const transport = createRouterTransport(router => {
    router.service(PeerService, {
      call: async function* call(message) {
        await Promise.resolve();
        yield* home.call(message);
      },
    });
  });
  const membership = new Membership({
    self: 'entry-1' as never,
    suspectMilliseconds: 1e9,
    timers,
  });
  membership.recordHeartbeat({
    address: 'fake',
    id: 'entry-2' as never,
    incarnation: 'entry-2.1' as never,
    isLeaving: false,
    zone: 'nelson' as never,
  });
  membership.leave();
  return new RoutedProgramService({
    clients: { at: () => createClient(PeerService, transport) } as unknown as PeerClients,
    handoverWaitMilliseconds: HANDOVER_WAIT_MILLISECONDS,
    home: undefined as unknown as ProgramService,
    isHeldHere: () => false,
    locations: new ShardLocations(() => []),
    membership,
    self: 'entry-1' as never,
    shardCount: 1,
    timers,
  });
}

async function collectFrames(home: FaultyHome): Promise<readonly CallFrame[]> {
  const timers = new ManualTimerService();
  const frames: CallFrame[] = [];
  const progress = { isDone: false };
  const collecting = (async () => {
    for await (const frame of createRoutedService(home, timers).call(request)) {
      frames.push(frame);
    }
  })().finally(() => {
    progress.isDone = true;
  });
  while (!progress.isDone) {
    await new Promise(resolve => setImmediate(resolve));
    await timers.advance(10);
  }
  await collecting;
  return frames;
}

const faults = fc.oneof(
  fc.record({ after: fc.nat(9), kind: fc.constant('cut' as const) }),
  fc.record({ frame: fc.nat(9), kind: fc.constantFrom('drop', 'repeat', 'swap') }),
  fc.constantFrom({ kind: 'refuse' } as const, { kind: 'remake' } as const),
);
const responseParts = fc.array(fc.uint8Array({ maxLength: 5, minLength: 1 }), { maxLength: 8 });

describe(RoutedProgramService, () => {
  it('relays each byte of one response once, or ends with an error, under any faults of the home', async () => {
    await fc.assert(
      fc.asyncProperty(responseParts, fc.array(faults, { maxLength: 4 }), async (parts, plan) => {
        const home = new FaultyHome(parts, plan);
        const frames = await collectFrames(home);
        const end = frames.at(-1)!;
        const data = frames.filter(frame => frame.kind === 'data');
        const received = Buffer.concat(data.map(frame => frame.data));
        const completeResponse = Buffer.concat(parts);
        const changedResponse = Buffer.from(completeResponse.map(byte => byte ^ 1));
        const isPrefix = [completeResponse, changedResponse].some(each =>
          each.subarray(0, received.length).equals(received),
        );
        expect(isPrefix).toBe(true);
        expect(frames.slice(0, -1).every(frame => frame.kind === 'data')).toBe(true);
        if (end.kind === 'closed') {
          expect(received.length).toBe(completeResponse.length);
        } else {
          expect(end).toMatchObject({ error: { kind: 'call-interrupted', ran: 'maybe' } });
        }
        if (!plan.some(({ kind }) => kind === 'remake')) {
          expect(end.kind).toBe('closed');
        }
      }),
      { numRuns: 400, seed: 44 },
    );
  });

  it('does not start a call again once a byte of its response has arrived', async () => {
    const home = new FaultyHome([Buffer.from('abc')], [{ after: 1, kind: 'cut' }]);
    await collectFrames(home);
    expect(home).toMatchObject({ attempts: 2, starts: 1 });
  });

  it('does not report "not run" when an earlier attempt was interrupted', async () => {
    const plan: Fault[] = [{ after: 0, kind: 'cut' }];
    const refusals = Array.from({ length: 500 }, (): Fault => ({ kind: 'refuse' }));
    const frames = await collectFrames(
      new FaultyHome([Buffer.from('abc')], [...plan, ...refusals]),
    );
    expect(frames).toMatchObject([
      { error: { kind: 'call-interrupted', ran: 'maybe', retryAfterSeconds: 2 }, kind: 'failed' },
    ]);
  });

  it('reports "not run" after the maximum wait when every attempt was refused', async () => {
    const refusals = Array.from({ length: 500 }, (): Fault => ({ kind: 'refuse' }));
    const home = new FaultyHome([], refusals);
    const frames = await collectFrames(home);
    expect(frames).toMatchObject([{ error: { kind: 'shard-unavailable', ran: 'no' } }]);
    expect(home.attempts).toBeLessThanOrEqual(HANDOVER_WAIT_MILLISECONDS / 50 + 1);
  });

  it('relays the digest and turn of the closing frame', async () => {
    const frames = await collectFrames(new FaultyHome([Buffer.from('abc')], []));
    expect(frames.at(-1)).toMatchObject({ digest: 'd' as HistoryDigest, kind: 'closed', turn: 1 });
  });
});
