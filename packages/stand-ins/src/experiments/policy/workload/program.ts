import type { ProgramId, WorkspaceName } from '@zincring/core';

/** What a program does between two turns. */
export type ToolUse =
  | { readonly kind: 'pause'; readonly milliseconds: number }
  | { readonly kind: 'service'; readonly milliseconds: number };

/** One call to the model, and what follows it. */
export interface Turn {
  /** Tokens that the turn adds to the prompt. */
  readonly inputTokens: number;
  readonly outputTokens: number;
  readonly tool: ToolUse;
  /** Chains that run side by side after the turn; the next turn waits for all of them. */
  readonly subAgents: readonly SubAgent[];
}

/** A chain of turns that a program starts beside its own. */
export interface SubAgent {
  /** Whether its prompts begin with the history of the program. */
  readonly inheritsHistory: boolean;
  readonly turns: readonly Turn[];
}

/** An agent program. The schedulers learn of each turn only when it comes. */
export interface Program {
  readonly id: ProgramId;
  readonly workspace: WorkspaceName;
  /** In milliseconds from the start. */
  readonly arrivesAt: number;
  readonly turns: readonly Turn[];
}

/**
 * Calls to the model that a chain makes, sub-agents included.
 *
 * @example
 * countCalls(program.turns);
 */
export function countCalls(turns: readonly Turn[]): number {
  return turns.reduce(
    (sum, turn) =>
      sum + 1 + turn.subAgents.reduce((inner, agent) => inner + countCalls(agent.turns), 0),
    0,
  );
}
