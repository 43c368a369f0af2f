import type { ProgramId, WorkspaceName } from '@zincring/core';

/** Tool that a program uses between two turns: a pause, or a call to a plain service. */
export type ToolUse =
  | { readonly kind: 'pause'; readonly milliseconds: number }
  | { readonly kind: 'service'; readonly milliseconds: number };

/** One call to the model, and the sub-agents and tool use that follow it. */
export interface Turn {
  /** Tokens that the turn adds to the prompt. */
  readonly inputTokens: number;
  readonly outputTokens: number;
  readonly tool: ToolUse;
  /** Sub-agents that run concurrently after the turn; the next turn waits for all of them. */
  readonly subAgents: readonly SubAgent[];
}

/** A chain of turns that a program starts in addition to its own. */
export interface SubAgent {
  /** Whether its prompts start with the history of the program. */
  readonly inheritsHistory: boolean;
  readonly turns: readonly Turn[];
}

/** An agent program. The schedulers see a turn only when its call is submitted. */
export interface Program {
  readonly id: ProgramId;
  readonly workspace: WorkspaceName;
  /** Arrival time in milliseconds from the start. */
  readonly arrivesAt: number;
  readonly turns: readonly Turn[];
}

/**
 * Counts the calls to the model that a chain makes, including those of its sub-agents.
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
