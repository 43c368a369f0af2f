import type { CallAnswer, CallerClient } from './callerClient.js';

/** What the load sends. */
export interface SteadyLoadOptions {
  readonly client: CallerClient;
  /** Callers' address for the next request. */
  readonly pickAddress: () => string;
  readonly policy: string;
  /** Programs under way at a time. */
  readonly programs: number;
  /** Turns of each program: model calls, each second one followed by an order. */
  readonly turns: number;
  readonly maxTokens: number;
}

/** A program that went to its end. */
export interface FinishedProgram {
  readonly program: string;
  readonly answers: readonly string[];
}

/**
 * Runs programs one after the other in several lanes. Whatever is not a whole answer is noted and
 * ends its lane.
 */
export class SteadyLoad {
  public readonly failures: string[] = [];
  public readonly finished: FinishedProgram[] = [];
  /** Call ids of whole answers whose turns were not told to be durable. */
  public readonly undurable: string[] = [];
  /** Call ids of the orders that were answered. */
  public readonly orders: string[] = [];
  private isStopping = false;
  private lanes: Promise<unknown> = Promise.resolve();
  private opened = 0;

  public constructor(private readonly options: SteadyLoadOptions) {}

  /** Begins to send. */
  public start(): void {
    const lanes = Array.from({ length: this.options.programs }, async () => this.runLane());
    this.lanes = Promise.all(lanes);
  }

  /** Lets the programs under way finish. */
  public async stop(): Promise<void> {
    this.isStopping = true;
    await this.lanes;
  }

  private async runLane(): Promise<void> {
    while (!this.isStopping) {
      const name = `load-${this.opened++}`;
      try {
        await this.runProgram(name);
      } catch (failure) {
        const { cause, message } = failure as Error;
        this.failures.push(`${name}: ${message} ${cause instanceof Error ? cause.message : ''}`);
        return;
      }
    }
  }

  private async runProgram(name: string): Promise<void> {
    const { client, pickAddress, policy, turns } = this.options;
    const opened = await client.openProgram(pickAddress(), policy, name);
    if (opened.status !== 201) {
      throw new Error(`open: ${opened.status} ${JSON.stringify(opened.body)}`);
    }
    const program = String(opened.body['program']);
    const answers: string[] = [];
    for (let turn = 1; turn <= turns; turn++) {
      const answer = await this.takeTurn(name, program, turn);
      if (answer.closed?.['turn'] !== turn) {
        throw new Error(`turn ${turn}: ${JSON.stringify(answer)}`);
      }
      if (answer.closed['durable'] !== true) {
        this.undurable.push(`${name}-${turn}`);
      }
      answers.push(answer.text);
    }
    this.finished.push({ answers, program });
  }

  private async takeTurn(name: string, program: string, turn: number): Promise<CallAnswer> {
    const { client, maxTokens, pickAddress } = this.options;
    const call = `${name}-${turn}`;
    const isOrder = turn % 2 === 0;
    const answer = await client.call(pickAddress(), program, {
      call,
      input: `turn ${turn} of ${name}`,
      turn,
      ...(isOrder
        ? { path: '/orders', service: 'ticket-app' }
        : { maxTokens, service: 'minutes-llm' }),
    });
    if (isOrder) {
      this.orders.push(call);
    }
    return answer;
  }
}
