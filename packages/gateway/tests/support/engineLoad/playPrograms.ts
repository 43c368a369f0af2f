import type { PromptPart, PromptPartId } from '../../../src/callers/requestFacts.js';
import type { EngineSheet } from './modelEngine.js';

import { makeRandom } from '../makeRandom.js';
import { ModelEngine } from './modelEngine.js';

/** A kind of program. */
export interface ProgramKind {
  readonly name: string;
  readonly share: number;
  readonly priority: number;
  readonly worth: number;
  readonly turns: readonly [least: number, most: number];
  readonly inputTokens: number;
  readonly thinkMilliseconds: number;
}

/** A load of programs on engines behind many instances. */
export interface EngineLoad {
  readonly seed: number;
  readonly seconds: number;
  readonly instances: number;
  readonly engines: number;
  readonly sheet: EngineSheet;
  /** Time that a program has, relative to its time on idle engines. */
  readonly objectiveFactor?: number;
  /** Picks the workspace that begins a program, by time in milliseconds and a random number from 0 to 1. */
  readonly pickWorkspace?: (now: number, random: number) => string;
  readonly kinds: readonly ProgramKind[];
  /** Prompts that the programs of a kind share; the first are asked for most. */
  readonly sharedPrompts: number;
  readonly sharedTokens: number;
  /** Programs that begin per second, by time in milliseconds. */
  readonly programsPerSecond: (now: number) => number;
  /** Speed of an engine at a time, relative to the sheet; 1 if absent. */
  readonly speedOf?: (engine: number, now: number) => number;
}

/** A turn as an instance sees it. */
export interface LoadedTurn {
  readonly instance: number;
  readonly session: string;
  readonly kind: string;
  readonly workspace: string;
  readonly parts: readonly PromptPart[];
  /** Time until the caller gives the turn up, in milliseconds. */
  readonly remaining: number;
  readonly priority: number;
  readonly isFirst: boolean;
  /** Time until the program should end, in milliseconds. */
  readonly programRemaining: number;
  /** Number of engines that refused the turn. */
  readonly refusals: number;
}

/** Decision on a turn. */
export type TurnDecision =
  | { readonly kind: 'refuse'; readonly retryAfterMilliseconds: number }
  | { readonly kind: 'send'; readonly engine: number; readonly urgency: number }
  /** Decide again on the same turn later. */
  | { readonly kind: 'wait'; readonly milliseconds: number };

/** Decisions under test, of all instances. */
export interface TurnPolicy {
  decide(turn: LoadedTurn, now: number): TurnDecision;
  /** Called when a turn began at an engine. */
  onSent(turn: LoadedTurn, engine: number, now: number): void;
  /** Called when an engine has sent an event of a turn. */
  onEvent?(turn: LoadedTurn, now: number): void;
  /** Called when a turn has left an engine. */
  onEnded(turn: LoadedTurn, engine: number, isComplete: boolean, now: number): void;
}

/** Programs of one kind or workspace, and those that ended in time or at all. */
export interface GroupResult {
  programs: number;
  onTime: number;
  served: number;
}

/** What callers got. */
export interface LoadResult {
  readonly programs: number;
  readonly onTime: number;
  readonly late: number;
  readonly failed: number;
  readonly refusals: number;
  /** Worth earned over worth asked for: a program that is late earns three tenths. */
  readonly earnedShare: number;
  /** By name of a kind or workspace. */
  readonly groups: ReadonlyMap<string, GroupResult>;
  readonly computedTokensPerTurn: number;
  /** Work of the busiest engine over the mean. */
  readonly imbalance: number;
}

interface Program {
  readonly kind: ProgramKind;
  readonly workspace: string;
  readonly id: number;
  readonly instance: number;
  readonly parts: PromptPart[];
  readonly turns: number;
  readonly startedAt: number;
  readonly objective: number;
  turn: number;
  failures: number;
}

type Event = () => void;

const OUTPUT_TOKENS = 257;
const WAY_MILLISECONDS = 27;
const OBJECTIVE_FACTOR = 1.3;
const OBJECTIVE_MILLISECONDS = 259;
const DEADLINE_MILLISECONDS = 3_000;
const LATE_SHARE = 0.3;
const REPEATED_TURNS = 2;
const MAXIMUM_REFUSALS = 6;
/** Share of turns that arrive at another instance than the rest of the program. */
const STRAY_SHARE = 0.2;
const POPULARITY_EXPONENT = 0.7;

/** Plays a load and counts what callers got; equal loads and policies give equal results. */
export function playPrograms(load: EngineLoad, policy: TurnPolicy): LoadResult {
  return new ProgramPlay(load, policy).run();
}

class ProgramPlay {
  /** Separate from the other random numbers, so that all policies meet the same programs. */
  private readonly randomArrival: () => number;
  private readonly random: () => number;
  private readonly engines: readonly ModelEngine[];
  private readonly isActive: boolean[];
  private readonly events = new Map<number, Event[]>();
  private now = 0;
  private readonly counts = { failed: 0, late: 0, onTime: 0, programs: 0, refusals: 0, turns: 0 };
  private readonly groups = new Map<string, GroupResult>();
  private earned = 0;
  private owed = 0;

  public constructor(
    private readonly load: EngineLoad,
    private readonly policy: TurnPolicy,
  ) {
    this.randomArrival = makeRandom(load.seed);
    this.random = makeRandom(load.seed + 1_000);
    this.engines = Array.from({ length: load.engines }, () => new ModelEngine(load.sheet));
    this.isActive = this.engines.map(() => false);
  }

  public run(): LoadResult {
    const endsAt = this.load.seconds * 1_000;
    this.scheduleArrival();
    for (; this.now < endsAt + 10_000; this.now++) {
      const due = this.events.get(this.now);
      this.events.delete(this.now);
      due?.forEach(event => {
        event();
      });
    }
    const work = this.engines.map(({ busyMilliseconds }) => busyMilliseconds);
    const mean = work.reduce((sum, each) => sum + each, 0) / work.length;
    const computed = this.engines.reduce((sum, { computedTokens }) => sum + computedTokens, 0);
    const { turns, ...counts } = this.counts;
    return {
      ...counts,
      computedTokensPerTurn: computed / turns,
      earnedShare: this.earned / this.owed,
      groups: this.groups,
      imbalance: Math.max(...work) / mean,
    };
  }

  private after(milliseconds: number, event: Event): void {
    const at = Math.max(this.now + 1, Math.round(this.now + milliseconds));
    const due = this.events.get(at);
    if (due === undefined) {
      this.events.set(at, [event]);
    } else {
      due.push(event);
    }
  }

  private scheduleArrival(): void {
    const rate = this.load.programsPerSecond(this.now);
    this.after((-Math.log(1 - this.randomArrival()) * 1_000) / rate, () => {
      if (this.now < this.load.seconds * 1_000) {
        this.startProgram();
        this.scheduleArrival();
      }
    });
  }

  private startProgram(): void {
    const kind = this.pickKind();
    const [least, most] = kind.turns;
    const turns = least + Math.floor(this.randomArrival() * (most - least + 1));
    const id = this.counts.programs++;
    const parts = [this.pickSharedPart(kind)];
    const prompt = this.load.sharedTokens + turns * kind.inputTokens;
    const step = this.load.sheet.stepMilliseconds + this.load.sheet.stepMillisecondsPerRequest;
    const idle =
      prompt / this.load.sheet.prefillTokensPerMillisecond +
      turns * (OUTPUT_TOKENS * step + WAY_MILLISECONDS + kind.thinkMilliseconds);
    this.owed += kind.worth * turns;
    const workspace = this.load.pickWorkspace?.(this.now, this.randomArrival()) ?? 'clerks';
    this.findGroups(kind.name, workspace).forEach(group => group.programs++);
    this.runTurn({
      failures: 0,
      id,
      instance: Math.floor(this.randomArrival() * this.load.instances),
      kind,
      objective: (this.load.objectiveFactor ?? OBJECTIVE_FACTOR) * idle + OBJECTIVE_MILLISECONDS,
      parts,
      startedAt: this.now,
      turn: 0,
      turns,
      workspace,
    });
  }

  private findGroups(...names: readonly string[]): readonly GroupResult[] {
    return names.map(name => {
      const group = this.groups.get(name) ?? { onTime: 0, programs: 0, served: 0 };
      this.groups.set(name, group);
      return group;
    });
  }

  private pickKind(): ProgramKind {
    let point = this.randomArrival();
    const kind = this.load.kinds.find(({ share }) => (point -= share) < 0);
    return kind ?? this.load.kinds[0]!;
  }

  private pickSharedPart({ name }: ProgramKind): PromptPart {
    const weights = Array.from(
      { length: this.load.sharedPrompts },
      (_unused, index) => (index + 1) ** -POPULARITY_EXPONENT,
    );
    let point = this.randomArrival() * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex(weight => (point -= weight) < 0);
    return {
      id: `${name}-shared-${String(index)}` as PromptPartId,
      tokens: this.load.sharedTokens,
    };
  }

  private runTurn(program: Program): void {
    const { id, kind, turn } = program;
    const part = {
      id: `${String(id)}-${String(turn)}` as PromptPartId,
      tokens: kind.inputTokens + (turn === 0 ? 0 : OUTPUT_TOKENS),
    };
    if (program.parts.length === turn + 1) {
      program.parts.push(part);
    }
    this.sendTurn(program, 0, 0);
  }

  private sendTurn(program: Program, attempt: number, refusals: number): void {
    const { id, kind, parts, turn, workspace } = program;
    const isStray = this.random() < STRAY_SHARE;
    const loadedTurn: LoadedTurn = {
      instance: isStray ? Math.floor(this.random() * this.load.instances) : program.instance,
      isFirst: turn === 0,
      kind: kind.name,
      parts: [...parts],
      priority: kind.priority,
      programRemaining: program.startedAt + program.objective - this.now,
      refusals,
      remaining: DEADLINE_MILLISECONDS,
      session: `session-${String(id)}`,
      workspace,
    };
    this.decideTurn(program, loadedTurn, attempt);
  }

  private decideTurn(program: Program, loadedTurn: LoadedTurn, attempt: number): void {
    const { parts, refusals } = loadedTurn;
    const decision = this.policy.decide(loadedTurn, this.now);
    if (decision.kind === 'wait') {
      this.after(decision.milliseconds, () => {
        this.decideTurn(program, loadedTurn, attempt);
      });
      return;
    }
    if (decision.kind === 'refuse') {
      this.refuse(program, attempt, decision.retryAfterMilliseconds);
      return;
    }
    const { engine, urgency } = decision;
    const isTaken = this.engines[engine]!.offer({
      deadline: this.now + DEADLINE_MILLISECONDS,
      onEnd: isComplete => {
        this.policy.onEnded(loadedTurn, engine, isComplete, this.now);
        this.endTurn(program, isComplete);
      },
      onEvent: () => this.policy.onEvent?.(loadedTurn, this.now),
      outputTokens: OUTPUT_TOKENS,
      parts,
      urgency,
    });
    if (!isTaken) {
      if (refusals + 1 >= MAXIMUM_REFUSALS) {
        this.refuse(program, attempt, 150);
      } else {
        this.sendTurn(program, attempt, refusals + 1);
      }
      return;
    }
    this.counts.turns++;
    this.policy.onSent(loadedTurn, engine, this.now);
    this.activate(engine);
  }

  private activate(index: number): void {
    if (this.isActive[index] === true) {
      return;
    }
    this.isActive[index] = true;
    const iterate = (): void => {
      const duration = this.engines[index]!.advance(this.now, this.load.speedOf?.(index, this.now));
      if (duration === 0) {
        this.isActive[index] = false;
      } else {
        this.after(duration, iterate);
      }
    };
    iterate();
  }

  private refuse(program: Program, attempt: number, retryAfterMilliseconds: number): void {
    this.counts.refusals++;
    if (attempt === 0) {
      this.after(retryAfterMilliseconds, () => {
        this.sendTurn(program, 1, 0);
      });
      return;
    }
    this.repeatTurn(program);
  }

  private repeatTurn(program: Program): void {
    program.failures++;
    if (program.failures > REPEATED_TURNS) {
      this.counts.failed++;
      return;
    }
    this.after(100 + this.random() * 300, () => {
      this.sendTurn(program, 0, 0);
    });
  }

  private endTurn(program: Program, isComplete: boolean): void {
    if (!isComplete) {
      this.repeatTurn(program);
      return;
    }
    program.failures = 0;
    program.turn++;
    if (program.turn < program.turns) {
      const think = program.kind.thinkMilliseconds * (0.5 + this.random());
      this.after(think + WAY_MILLISECONDS, () => {
        this.runTurn(program);
      });
      return;
    }
    const elapsed = this.now + WAY_MILLISECONDS - program.startedAt;
    const worth = program.kind.worth * program.turns;
    const groups = this.findGroups(program.kind.name, program.workspace);
    if (elapsed <= 2 * program.objective) {
      groups.forEach(group => group.served++);
    }
    if (elapsed <= program.objective) {
      this.counts.onTime++;
      groups.forEach(group => group.onTime++);
      this.earned += worth;
    } else if (elapsed <= 2 * program.objective) {
      this.counts.late++;
      this.earned += worth * LATE_SHARE;
    } else {
      this.counts.failed++;
    }
  }
}

/** Programs that the engines can serve, with a wave. */
export const ordinaryPrograms: EngineLoad = {
  engines: 44,
  instances: 110,
  kinds: [
    {
      inputTokens: 840,
      name: 'trace',
      priority: 0,
      share: 0.2,
      thinkMilliseconds: 110,
      turns: [6, 12],
      worth: 10 / 9,
    },
    {
      inputTokens: 1_680,
      name: 'summary',
      priority: 1,
      share: 0.8,
      thinkMilliseconds: 200,
      turns: [2, 4],
      worth: 1,
    },
  ],
  programsPerSecond: now => 60 + 9 * Math.sin(now / 1_750),
  seconds: 12,
  seed: 1,
  sharedPrompts: 8,
  sharedTokens: 12_600,
  sheet: {
    cacheTokens: 230_000,
    prefillTokensPerMillisecond: 147,
    queue: 18,
    slots: 6,
    stepMilliseconds: 1.08,
    stepMillisecondsPerRequest: 0.0377,
  },
};

/** Programs of which far more begin for six seconds than the engines can serve. */
export const burstOfPrograms: EngineLoad = {
  ...ordinaryPrograms,
  programsPerSecond: now => 120 * (now >= 4_000 && now < 10_000 ? 2.5 : 1),
  seconds: 14,
};
