import type { AvailabilityZone, ProgramId, WorkspaceName } from '@zincring/core';
import type { AdmissionDecision, AdmissionPolicy } from '@zincring/scheduling';

import { ManualTimerService, silentLogger } from '@zincring/core';
import { WorkspaceShares } from '@zincring/scheduling';

import type { SessionId } from '../../../src/callers/requestFacts.js';
import type { RouteName } from '../../../src/configuration/gatewayConfiguration.js';
import type { ProgramStage } from '../../../src/programs/programStage.js';
import type { RunnableRequest } from '../../../src/upstreams/attemptLoop.js';
import type { ReplicaEntry } from '../../../src/upstreams/replica.js';
import type { ExchangeTiming } from '../../../src/upstreams/load/exchangeTiming.js';
import type { HeldTurn } from '../../../src/upstreams/load/programAdmission.js';
import type { EngineLoad, LoadedTurn, TurnDecision, TurnPolicy } from './playPrograms.js';

import { GatewayMetrics } from '../../../src/observation/gatewayMetrics.js';
import { findProgramStage } from '../../../src/programs/programStage.js';
import { EngineLoads } from '../../../src/upstreams/load/engineLoads.js';
import { computeEngineUrgency } from '../../../src/upstreams/load/engineUrgency.js';
import { ProgramAdmission } from '../../../src/upstreams/load/programAdmission.js';
import { ReplicaCosts } from '../../../src/upstreams/load/replicaCosts.js';
import { ReplicaLoads } from '../../../src/upstreams/replicaLoads.js';
import { ReplicaPool } from '../../../src/upstreams/replicaPool.js';
import { makeRandom } from '../makeRandom.js';
import { quietAdmission } from '../quietAdmission.js';
import { engineService, sampleReplica, sampleRoute, sampleTurn } from '../samples.js';

/** Which decisions of the gateway a policy takes; the others are those of earlier builds. */
export interface PolicyOptions {
  /** Orders the queues of engines by the stage of programs, not only by the operator's priority. */
  readonly ordersByStage: boolean;
  /** Refuses program starts while the engines are busy. */
  readonly limitsStarts: boolean;
  /** Learns what turns cost and how slow engines are; otherwise the defaults stay. */
  readonly learnsCosts?: boolean;
  /** Decides on program starts; that of the gateway by default. */
  readonly admission?: AdmissionPolicy | undefined;
}

/** Calls to random other instances that one turn needs: one for the rate and two for the budget. */
const PEER_CALLS_PER_TURN = 3;

interface PlayedInstance {
  readonly admission: ProgramAdmission;
  readonly costs: ReplicaCosts;
  readonly loads: EngineLoads;
  readonly pool: ReplicaPool;
}

/** Takes the decisions of all instances with the parts of the gateway. */
export function makeGatewayPolicy(load: EngineLoad, options: PolicyOptions): TurnPolicy {
  const timers = new ManualTimerService();
  const random = makeRandom(load.seed + 1);
  const replicas = Array.from({ length: load.engines }, (_unused, index) =>
    sampleReplica(`engine-${String(index)}`, { slots: load.sheet.slots }),
  );
  const metrics = new GatewayMetrics();
  const indexes = new Map(replicas.map(({ id }, index) => [id, index]));
  const instances = Array.from({ length: load.instances }, (): PlayedInstance => {
    const loads = new EngineLoads({ countPeers: () => load.instances - 1, timers });
    const admission = new ProgramAdmission({
      ...quietAdmission,
      ...(options.admission === undefined ? {} : { policy: options.admission }),
      countPeers: () => load.instances - 1,
      estimateTurns: service => loads.estimateTurns(service),
      findReplicas: () => replicas,
      random,
      shares: new WorkspaceShares({ timers, weightOf: () => 1 }),
      timers,
    });
    const costs = new ReplicaCosts({ logger: silentLogger, metrics, timers });
    const pool = new ReplicaPool({
      areEnginesContended: () => admission.isContended,
      availabilityZone: 'nelson' as AvailabilityZone,
      costs,
      directory: { findReplicas: () => replicas, listAll: () => replicas },
      isPermitted: () => true,
      loads: new ReplicaLoads(timers, () => 1),
      random,
      timers,
    });
    return { admission, costs, loads, pool };
  });
  const sent = new Map<LoadedTurn, SentTurn>();
  const lowestPriority = Math.max(...load.kinds.map(({ priority }) => priority));
  const held = new WeakMap<LoadedTurn, HeldTurn>();

  function samplePeers({ admission, costs, loads }: PlayedInstance): void {
    for (let call = 0; call < PEER_CALLS_PER_TURN; call++) {
      const peer = instances[Math.floor(random() * instances.length)];
      if (peer !== undefined) {
        loads.recordPeer(peer.loads.ownCounts);
        costs.hear(peer.costs.ownReports);
        const counts = peer.admission.ownCounts;
        if (counts !== undefined) {
          admission.recordPeer(counts);
        }
      }
    }
  }

  function admit(turn: LoadedTurn, { admission }: PlayedInstance): AdmissionDecision {
    if (!options.limitsStarts || !turn.isFirst || turn.refusals > 0) {
      return { kind: 'admit' };
    }
    const { priority } = turn;
    const request = makeRequest(turn, timers.now());
    const waiting = held.get(turn) ?? admission.check({ lowestPriority, priority, request });
    if (waiting === undefined) {
      return { kind: 'admit' };
    }
    const decision = held.has(turn) ? admission.reconsider(waiting) : waiting.decision;
    held.set(turn, waiting);
    if (decision.kind === 'refuse') {
      admission.refuse(waiting, decision);
    }
    return decision;
  }

  function decide(turn: LoadedTurn): TurnDecision {
    const instance = instances[turn.instance]!;
    samplePeers(instance);
    const { priority } = turn;
    const decision = admit(turn, instance);
    if (decision.kind !== 'admit') {
      return decision;
    }
    const { facts } = makeRequest(turn, timers.now());
    const isExcluded = (): boolean => turn.refusals > 0 && random() < EXCLUDED_AFTER_REFUSAL;
    const entry = instance.pool.choose({
      excluded: new Set(replicas.filter(isExcluded).map(({ runId }) => runId)),
      facts,
      isSticky: true,
      service: engineService,
      softwareVersion: undefined,
    });
    const stage: ProgramStage = options.ordersByStage
      ? findProgramStage(facts, turn.isFirst)
      : 'in-progress';
    return {
      engine: indexes.get(entry!.id)!,
      kind: 'send',
      urgency: computeEngineUrgency({ lowestPriority, priority, stage }),
    };
  }

  return {
    decide: (turn, now) => {
      timers.skip(now - timers.now());
      return decide(turn);
    },
    onEnded: (turn, _engine, isComplete, now) => {
      timers.skip(now - timers.now());
      sent.get(turn)?.end(isComplete);
      sent.delete(turn);
    },
    onEvent: (turn, now) => {
      timers.skip(now - timers.now());
      sent.get(turn)?.timing?.recordEvent();
    },
    onSent: (turn, engine) => {
      const instance = instances[turn.instance]!;
      const request = makeRequest(turn, timers.now());
      const exchange = beginTurn(instance, replicas[engine]!, request, options);
      const { priority } = turn;
      const endUse = instance.admission.begin({ lowestPriority, priority, request }, turn.isFirst);
      sent.set(turn, {
        ...exchange,
        end: isComplete => {
          exchange.end(isComplete);
          endUse();
        },
      });
    },
  };
}

/** A turn at an engine, as its instance sees it. */
interface SentTurn {
  readonly timing: ExchangeTiming | undefined;
  readonly end: (isComplete: boolean) => void;
}

function beginTurn(
  { costs, loads, pool }: PlayedInstance,
  entry: ReplicaEntry,
  { facts }: RunnableRequest,
  { learnsCosts = false }: PolicyOptions,
): SentTurn {
  const prompt = pool.expectPrompt(facts, entry);
  const timing = learnsCosts ? costs.begin(entry, { kind: 'turns', prompt }) : undefined;
  const endTurn = loads.begin(engineService.name);
  const state = pool.loads.findOrAddState(entry);
  state.inFlight++;
  pool.recordReplica(facts, entry);
  return {
    end: isComplete => {
      state.inFlight--;
      endTurn();
      if (isComplete) {
        timing?.complete();
      } else {
        timing?.abandon();
      }
    },
    timing,
  };
}

/** Share of the engines that a turn avoids after a refusal, which stands for those that it excludes. */
const EXCLUDED_AFTER_REFUSAL = 0.5;

function makeRequest(turn: LoadedTurn, now: number): RunnableRequest {
  const facts = {
    programId: turn.session as ProgramId,
    programRemainingMilliseconds: turn.programRemaining,
    promptParts: turn.parts,
    sessionId: turn.session as SessionId,
  };
  return sampleTurn(turn.session, facts, {
    deadline: now + turn.remaining,
    route: sampleRoute({ name: turn.kind as RouteName }),
    workspace: turn.workspace as WorkspaceName,
  });
}
