import type { CallResponse, CallerClient } from './callerClient.js';

/** Options of a {@link SteadyLoad}. */
export interface SteadyLoadOptions {
  readonly client: CallerClient;
  /** Returns the callers' address for the next request. */
  readonly pickAddress: () => string;
  readonly policy: string;
  /** Number of programs that run concurrently. */
  readonly programs: number;
  /** Number of turns of each program; odd turns call the model, even turns place an order. */
  readonly turns: number;
  readonly maxTokens: number;
}

/** A program all of whose turns got a complete response. */
export interface FinishedProgram {
  readonly program: string;
  readonly responseTexts: readonly string[];
}

/**
 * Runs programs in several concurrent workers, one after the other in each. A worker stops at its
 * first incomplete response, which is recorded as a failure.
 */
export class SteadyLoad {
  public readonly failures: string[] = [];
  public readonly finished: FinishedProgram[] = [];
  /** Identifiers of the calls whose complete responses did not report the turn as durable. */
  public readonly nonDurableCalls: string[] = [];
  /** Identifiers of the orders for which a response arrived. */
  public readonly answeredOrders: string[] = [];
  private isStopping = false;
  private workers: Promise<unknown> = Promise.resolve();
  private openedPrograms = 0;

  public constructor(private readonly options: SteadyLoadOptions) {}

  /** Starts the workers. */
  public start(): void {
    const workers = Array.from({ length: this.options.programs }, async () => this.runWorker());
    this.workers = Promise.all(workers);
  }

  /** Starts no further programs and waits until those in progress finish. */
  public async stop(): Promise<void> {
    this.isStopping = true;
    await this.workers;
  }

  private async runWorker(): Promise<void> {
    while (!this.isStopping) {
      const name = `load-${this.openedPrograms++}`;
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
    const responseTexts: string[] = [];
    for (let turn = 1; turn <= turns; turn++) {
      const response = await this.runTurn(name, program, turn);
      if (response.closed?.['turn'] !== turn) {
        throw new Error(`turn ${turn}: ${JSON.stringify(response)}`);
      }
      if (response.closed['durable'] !== true) {
        this.nonDurableCalls.push(`${name}-${turn}`);
      }
      responseTexts.push(response.text);
    }
    this.finished.push({ responseTexts, program });
  }

  private async runTurn(name: string, program: string, turn: number): Promise<CallResponse> {
    const { client, maxTokens, pickAddress } = this.options;
    const call = `${name}-${turn}`;
    const isOrder = turn % 2 === 0;
    const response = await client.call(pickAddress(), program, {
      call,
      input: `turn ${turn} of ${name}`,
      turn,
      ...(isOrder
        ? { path: '/orders', service: 'ticket-app' }
        : { maxTokens, service: 'minutes-llm' }),
    });
    if (isOrder) {
      this.answeredOrders.push(call);
    }
    return response;
  }
}
