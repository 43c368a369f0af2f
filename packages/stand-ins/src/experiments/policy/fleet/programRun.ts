import type { PrefixDigest, PromptPrefix, WorkId } from '@zincring/scheduling';

import type { Program, SubAgent, ToolUse, Turn } from '../workload/program.js';
import type { EventQueue } from './eventQueue.js';
import type { SimulatedCall } from './modelCall.js';
import type { SimulatedInstance } from './simulatedInstance.js';

import { callCost } from '@zincring/scheduling';

import { SYSTEM_PROMPT_TOKENS } from '../workload/generateWorkload.js';

/** Answer that is expected before it is known, in tokens. */
const EXPECTED_OUTPUT_TOKENS = 150;

interface Chain {
  readonly name: string;
  readonly turns: readonly Turn[];
  readonly onEnd: () => void;
  prefixes: readonly PromptPrefix[];
}

/** What a running program works with. */
export interface ProgramRunOptions {
  readonly program: Program;
  /** The instance that is the program's home. */
  readonly home: SimulatedInstance;
  readonly events: EventQueue;
  readonly onEnd: () => void;
}

/** Runs one program turn by turn: call, tool, sub-agents, next call. */
export class ProgramRun {
  private attainedTokens = 0;

  public constructor(private readonly options: ProgramRunOptions) {}

  /** Starts the first turn. */
  public start(): void {
    const { onEnd, program } = this.options;
    this.runTurn(
      { name: program.id, onEnd, prefixes: this.systemPrompt(), turns: program.turns },
      0,
    );
  }

  private systemPrompt(): readonly PromptPrefix[] {
    const { workspace } = this.options.program;
    return [{ digest: `${workspace}-system` as PrefixDigest, tokens: SYSTEM_PROMPT_TOKENS }];
  }

  private runTurn(chain: Chain, index: number): void {
    const turn = chain.turns[index];
    if (turn === undefined) {
      chain.onEnd();
      return;
    }
    this.callModel(chain, index, turn, () => {
      this.attainedTokens += callCost(turn.inputTokens, turn.outputTokens);
      this.runSubAgents(chain, index, turn.subAgents, () => {
        const isLast = index === chain.turns.length - 1;
        this.useTool(isLast ? undefined : turn.tool, `${chain.name}/${index}/tool`, () => {
          this.runTurn(chain, index + 1);
        });
      });
    });
  }

  private callModel(chain: Chain, index: number, turn: Turn, onDone: () => void): void {
    const { events, home } = this.options;
    const name = `${chain.name}/${index}`;
    const historyTokens = chain.prefixes.at(-1)?.tokens ?? 0;
    const promptTokens = historyTokens + turn.inputTokens;
    const asked = { digest: `${name}?` as PrefixDigest, tokens: promptTokens };
    const answered = {
      digest: `${name}!` as PrefixDigest,
      tokens: promptTokens + turn.outputTokens,
    };
    const prefixes = [...chain.prefixes, asked];
    chain.prefixes = [...prefixes, answered];
    home.submit({
      ...this.callBasis(name, events.now),
      answered,
      estimatedTokens: callCost(turn.inputTokens, EXPECTED_OUTPUT_TOKENS),
      onDone,
      outputTokens: turn.outputTokens,
      prefixes,
      promptTokens,
      service: 'model',
      serviceMilliseconds: 0,
    });
  }

  private useTool(tool: ToolUse | undefined, name: string, onDone: () => void): void {
    const { events, home } = this.options;
    if (tool === undefined) {
      onDone();
      return;
    }
    switch (tool.kind) {
      case 'pause':
        events.after(tool.milliseconds, onDone);
        return;
      case 'service':
        home.submit({
          ...this.callBasis(name, events.now),
          answered: undefined,
          estimatedTokens: 1,
          onDone,
          outputTokens: 0,
          prefixes: [],
          promptTokens: 0,
          service: 'plain',
          serviceMilliseconds: tool.milliseconds,
        });
        return;
    }
  }

  private callBasis(
    name: string,
    now: number,
  ): Pick<
    SimulatedCall,
    'attainedTokens' | 'deadline' | 'enqueuedAt' | 'excluded' | 'id' | 'program' | 'workspace'
  > {
    const { id, workspace } = this.options.program;
    return {
      attainedTokens: this.attainedTokens,
      deadline: undefined,
      enqueuedAt: now,
      excluded: new Set(),
      id: name as WorkId,
      program: id,
      workspace,
    };
  }

  private runSubAgents(
    parent: Chain,
    index: number,
    subAgents: readonly SubAgent[],
    onDone: () => void,
  ): void {
    let left = subAgents.length;
    if (left === 0) {
      onDone();
      return;
    }
    const onEnd = (): void => {
      if (--left === 0) {
        onDone();
      }
    };
    for (const [number, agent] of subAgents.entries()) {
      const prefixes = agent.inheritsHistory ? parent.prefixes : this.systemPrompt();
      const name = `${parent.name}/${index}.${number}`;
      this.runTurn({ name, onEnd, prefixes, turns: agent.turns }, 0);
    }
  }
}
