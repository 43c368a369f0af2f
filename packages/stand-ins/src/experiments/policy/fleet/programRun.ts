import type { PrefixDigest, PromptPrefix, WorkId } from '@zincring/scheduling';

import type { Program, SubAgent, ToolUse, Turn } from '../workload/program.js';
import type { EventQueue } from './eventQueue.js';
import type { SimulatedCall } from './simulatedCall.js';
import type { SimulatedInstance } from './simulatedInstance.js';

import { callCost } from '@zincring/scheduling';

import { SYSTEM_PROMPT_TOKENS } from '../workload/generateWorkload.js';

/** Output length assumed in the estimate of a call, in tokens. */
const EXPECTED_OUTPUT_TOKENS = 150;

interface TurnChain {
  readonly name: string;
  readonly turns: readonly Turn[];
  readonly onEnd: () => void;
  prefixes: readonly PromptPrefix[];
}

/** Options of a {@link ProgramRun}. */
export interface ProgramRunOptions {
  readonly program: Program;
  /** The instance that is the program's home. */
  readonly home: SimulatedInstance;
  readonly events: EventQueue;
  readonly onEnd: () => void;
}

/** Runs one program turn by turn: model call, sub-agents, tool, next model call. */
export class ProgramRun {
  private attainedTokens = 0;

  public constructor(private readonly options: ProgramRunOptions) {}

  /** Starts the first turn. */
  public start(): void {
    const { onEnd, program } = this.options;
    this.runTurn(
      {
        name: program.id,
        onEnd,
        prefixes: this.createSystemPromptPrefixes(),
        turns: program.turns,
      },
      0,
    );
  }

  private createSystemPromptPrefixes(): readonly PromptPrefix[] {
    const { workspace } = this.options.program;
    return [{ digest: `${workspace}-system` as PrefixDigest, tokens: SYSTEM_PROMPT_TOKENS }];
  }

  private runTurn(chain: TurnChain, index: number): void {
    const turn = chain.turns[index];
    if (turn === undefined) {
      chain.onEnd();
      return;
    }
    this.callModel(chain, index, turn, () => {
      this.attainedTokens += callCost(turn.inputTokens, turn.outputTokens);
      this.runSubAgents(chain, index, turn.subAgents, () => {
        const isLast = index === chain.turns.length - 1;
        this.runTool(isLast ? undefined : turn.tool, `${chain.name}/${index}/tool`, () => {
          this.runTurn(chain, index + 1);
        });
      });
    });
  }

  private callModel(chain: TurnChain, index: number, turn: Turn, onDone: () => void): void {
    const { events, home } = this.options;
    const name = `${chain.name}/${index}`;
    const historyTokens = chain.prefixes.at(-1)?.tokens ?? 0;
    const promptTokens = historyTokens + turn.inputTokens;
    const promptPrefix = { digest: `${name}?` as PrefixDigest, tokens: promptTokens };
    const prefixWithOutput = {
      digest: `${name}!` as PrefixDigest,
      tokens: promptTokens + turn.outputTokens,
    };
    const prefixes = [...chain.prefixes, promptPrefix];
    chain.prefixes = [...prefixes, prefixWithOutput];
    home.submit({
      ...this.createCommonFields(name, events.now),
      prefixWithOutput: prefixWithOutput,
      estimatedTokens: callCost(turn.inputTokens, EXPECTED_OUTPUT_TOKENS),
      onDone,
      outputTokens: turn.outputTokens,
      prefixes,
      promptTokens,
      service: 'model',
      serviceMilliseconds: 0,
    });
  }

  private runTool(tool: ToolUse | undefined, name: string, onDone: () => void): void {
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
          ...this.createCommonFields(name, events.now),
          prefixWithOutput: undefined,
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

  private createCommonFields(
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
    parent: TurnChain,
    index: number,
    subAgents: readonly SubAgent[],
    onDone: () => void,
  ): void {
    let remaining = subAgents.length;
    if (remaining === 0) {
      onDone();
      return;
    }
    const onEnd = (): void => {
      if (--remaining === 0) {
        onDone();
      }
    };
    for (const [agentIndex, agent] of subAgents.entries()) {
      const prefixes = agent.inheritsHistory ? parent.prefixes : this.createSystemPromptPrefixes();
      const name = `${parent.name}/${index}.${agentIndex}`;
      this.runTurn({ name, onEnd, prefixes, turns: agent.turns }, 0);
    }
  }
}
