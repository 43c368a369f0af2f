import type { WorkspaceName, ZincringError } from '@zincring/core';
import type { AdmissionPolicy } from '@zincring/scheduling';

import { ManualTimerService } from '@zincring/core';
import { WorkspaceShares } from '@zincring/scheduling';
import { describe, expect, it } from 'vitest';

import type { RequestFacts } from '../../../src/callers/requestFacts.js';
import type { GroupResult, LoadResult } from '../../support/engineLoad/playPrograms.js';
import type { RunnableRequest } from '../../../src/upstreams/attemptLoop.js';
import type {
  ProgramAdmissionDependencies,
  ProgramTurn,
} from '../../../src/upstreams/load/programAdmission.js';

import { ProgramAdmission } from '../../../src/upstreams/load/programAdmission.js';
import { competingPrograms } from '../../support/engineLoad/competingPrograms.js';
import { makeGatewayPolicy } from '../../support/engineLoad/gatewayPolicy.js';
import {
  burstOfPrograms,
  ordinaryPrograms,
  playPrograms,
} from '../../support/engineLoad/playPrograms.js';
import { SingleLimitAdmission } from '../../support/engineLoad/singleLimitAdmission.js';
import { quietAdmission } from '../../support/quietAdmission.js';
import { plainService, sampleReplica, sampleTurn } from '../../support/samples.js';

const SLOTS = 24;
const replicas = [
  sampleReplica('r1', { slots: 12 }),
  sampleReplica('r2', { slots: 12 }),
  sampleReplica('r3', { isDraining: true, slots: 100 }),
];
function makeAdmission(
  turns: number | (() => number) | undefined,
  overrides: Partial<ProgramAdmissionDependencies> = {},
): ProgramAdmission {
  const timers = new ManualTimerService();
  return new ProgramAdmission({
    ...quietAdmission,
    countPeers: () => 1,
    estimateTurns: () => (typeof turns === 'function' ? turns() : turns),
    findReplicas: () => replicas,
    random: () => 0.5,
    shares: new WorkspaceShares({ timers, weightOf: () => 1 }),
    timers,
    ...overrides,
  });
}

function sampleStart(
  overrides: Partial<RunnableRequest> = {},
  priority = 1,
  facts: Partial<RequestFacts> = {},
): ProgramTurn {
  return { lowestPriority: 1, priority, request: sampleTurn('request-1', facts, overrides) };
}

function refuse(admission: ProgramAdmission, turn: ProgramTurn): ZincringError | undefined {
  const held = admission.check(turn);
  return held?.decision.kind === 'refuse' ? admission.refuse(held, held.decision) : undefined;
}

describe(ProgramAdmission, () => {
  it.each<[string, number | undefined, ProgramTurn, boolean]>([
    ['a start while slots are free', SLOTS * 0.9, sampleStart(), true],
    ['a start with a short queue', SLOTS * 1.2, sampleStart(), true],
    ['a start with a long queue', SLOTS * 1.3, sampleStart(), false],
    ['a start of the highest priority with the same queue', SLOTS * 1.3, sampleStart({}, 0), true],
    ['a start of the highest priority with a longer queue', SLOTS * 1.6, sampleStart({}, 0), false],
    ['a start while the load is not known', undefined, sampleStart(), true],
    ['a call of a plain service', SLOTS * 9, sampleStart({ service: plainService }), true],
  ])('decides on %s', (_name, turns, turn, isAdmitted) => {
    const admission = makeAdmission(turns);
    expect(admission.check(turn) === undefined).toBe(isAdmitted);
    expect(refuse(admission, turn) === undefined).toBe(isAdmitted);
  });

  it('states that a refused program has not run, and spreads the time to return', () => {
    const refusals = [0, 0.5, 1].map(draw =>
      refuse(makeAdmission(SLOTS * 1.7, { random: () => draw }), sampleStart()),
    );
    for (const refusal of refusals) {
      expect(refusal).toMatchObject({ kind: 'queue-full', ran: 'no', status: 503 });
    }
    const delays = refusals.map(refusal => refusal?.retryAfterSeconds ?? 0);
    expect(delays).toEqual([...delays].sort((left, right) => left - right));
    expect(new Set(delays).size).toBe(3);
  });

  it('admits programs when no engine is known, whose replicas then decide', () => {
    expect(makeAdmission(10, { findReplicas: () => [] }).check(sampleStart())).toBeUndefined();
  });

  it('refuses starts of the workspace that crowds the others first, and says so', () => {
    const admission = makeAdmission(SLOTS * 1.15);
    admission.recordPeer({ a: 40, b: 40, c: 40, crowd: 400, d: 40 });
    const crowding = sampleStart({ workspace: 'crowd' as WorkspaceName });
    expect(refuse(admission, crowding)?.detail).toContain('more than its share');
    expect(admission.check(sampleStart({ workspace: 'a' as WorkspaceName }))).toBeUndefined();
  });

  it('learns that a program has too little time left, and refuses it first', () => {
    const admission = makeAdmission(SLOTS * 1.1);
    const start = (remaining: number): ProgramTurn =>
      sampleStart({}, 1, { programRemainingMilliseconds: remaining });
    expect(admission.check(start(900))).toBeUndefined();
    for (let program = 0; program < 20; program++) {
      admission.begin(start(2_500), true)();
    }
    expect(refuse(admission, start(900))?.detail).toContain('cannot end in time');
    expect(admission.check(start(2_400))).toBeUndefined();
  });

  /** A start whose caller leaves before it could return. */
  const lastChance = sampleStart({ deadline: 500 });

  it.each<[string, readonly number[], Partial<ProgramAdmissionDependencies>, boolean]>([
    ['goes on when places are free', [1.21, 1.21, 1.1], {}, true],
    ['is refused when there are none in time', [1.21, 1.21, 1.21, 1.21, 1.21, 1.21], {}, false],
    ['is refused while the instance stops', [1.21, 1.1], { isStopping: () => true }, false],
  ])(
    'a start just above the limit that could not return in time %s',
    async (_name, loads, overrides, isAdmitted) => {
      const timers = new ManualTimerService();
      let call = 0;
      const turns = (): number => SLOTS * loads[Math.min(call++, loads.length - 1)]!;
      const admission = makeAdmission(turns, { timers, ...overrides });
      const held = admission.check(lastChance)!;
      const pending = admission.settle(held, new AbortController().signal);
      await timers.advance(100);
      expect((await pending) === undefined).toBe(isAdmitted);
    },
  );

  it('stops waiting at once when the caller leaves', async () => {
    const timers = new ManualTimerService();
    const caller = new AbortController();
    const admission = makeAdmission(SLOTS * 1.21, { timers });
    const pending = admission.settle(admission.check(lastChance)!, caller.signal);
    caller.abort();
    expect(await pending).toBeUndefined();
    expect(timers.scheduledTimerCount).toBe(0);
  });

  it('tells other instances who uses the engines only while these are busy', () => {
    for (const [load, counts] of [
      [0.5, undefined],
      [0.9, { clerks: 1 }],
    ] as const) {
      const admission = makeAdmission(SLOTS * load);
      admission.check(sampleStart());
      admission.begin(sampleStart(), true);
      expect(admission.ownCounts).toEqual(counts);
    }
  });
});

describe('limited program starts', () => {
  it.each([1, 2, 3])('complete more programs in time under a burst (seed %i)', seed => {
    const load = { ...burstOfPrograms, seed };
    const play = (limitsStarts: boolean): ReturnType<typeof playPrograms> =>
      playPrograms(load, makeGatewayPolicy(load, { limitsStarts, ordersByStage: true }));
    const unlimited = play(false);
    const limited = play(true);
    expect(limited.onTime).toBeGreaterThan(unlimited.onTime);
    expect(limited.earnedShare).toBeGreaterThan(unlimited.earnedShare);
  });

  it.each([1, 2, 3])('refuse nothing under a load that the engines can serve (seed %i)', seed => {
    const load = { ...ordinaryPrograms, seed };
    const result = playPrograms(
      load,
      makeGatewayPolicy(load, { limitsStarts: true, ordersByStage: true }),
    );
    expect(result.refusals).toBe(0);
  });
});

describe('program starts of workspaces and kinds that compete', () => {
  it('end in time more often than with one limit for all, and none starves', () => {
    const play = (admission?: AdmissionPolicy): readonly LoadResult[] =>
      [1, 2, 3].map(seed => {
        const load = { ...competingPrograms, seed };
        const options = { admission, limitsStarts: true, ordersByStage: true };
        return playPrograms(load, makeGatewayPolicy(load, options));
      });
    const before = play(new SingleLimitAdmission());
    const after = play();
    const mean = (results: readonly LoadResult[], of: (result: LoadResult) => number): number =>
      results.reduce((sum, result) => sum + of(result), 0) / results.length;
    expect(mean(after, ({ earnedShare }) => earnedShare)).toBeGreaterThan(
      mean(before, ({ earnedShare }) => earnedShare),
    );
    expect(mean(after, onTimeWithinShare)).toBeGreaterThan(mean(before, onTimeWithinShare) + 0.02);
    for (const { groups, onTime, late, programs } of after) {
      for (const { programs: asked, served } of groups.values()) {
        expect(served / asked).toBeGreaterThan((0.5 * (onTime + late)) / programs);
      }
    }
  });
});

/** Share of the programs in time of all workspaces but the one that sends many times its usual. */
function onTimeWithinShare({ groups }: LoadResult): number {
  const others = [...groups].filter(([name]) => /^workspace-[1-9]/u.test(name));
  const sum = (of: (group: GroupResult) => number): number =>
    others.reduce((total, [, group]) => total + of(group), 0);
  return sum(({ onTime }) => onTime) / sum(({ programs }) => programs);
}
