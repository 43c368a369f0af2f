import type { Fleet } from '../launch/fleet.js';
import type { RandomSource } from '../util/randomSource.js';

import { CallerClient, type CallAnswer } from '../launch/callerClient.js';

/** A call, with what its caller knows of it. */
export interface DrivenCall {
  readonly call: string;
  readonly service: string;
  readonly turn: number;
  readonly input: string;
  /**
   * For each attempt: `ran` of its error, `maybe` without a response, `yes` for a complete answer.
   */
  readonly ranReports: string[];
  /** The complete answer; `undefined` until it arrives. */
  text: string | undefined;
  /** Whether the answer reported the turn as durable. */
  isDurable: boolean;
}

/** A program, with what its caller knows of it. */
export interface DrivenProgram {
  readonly program: string;
  readonly marker: string;
  readonly calls: DrivenCall[];
}

/** Options of a {@link ProgramDriver}. */
export interface DriverOptions {
  readonly fleet: Fleet;
  readonly key: string;
  readonly random: RandomSource;
  /** Whether the run is over. */
  readonly isOver: () => boolean;
  /** Maximum number of turns of a program. */
  readonly maximumTurns: number;
}

const PAUSE_AFTER_REFUSAL_MILLISECONDS = 100;
const CALL_TIMEOUT_SECONDS = 20;
const ANSWER_TOKENS = 12;
/** On average, one call in this many goes to the service whose calls have side effects. */
const CALLS_PER_ORDER = 3;

/** Runs one program after the other until the run is over; resends calls that were not answered. */
export class ProgramDriver {
  public readonly programs: DrivenProgram[] = [];
  private readonly client: CallerClient;
  private nextProgram = 0;

  public constructor(
    private readonly name: string,
    private readonly options: DriverOptions,
  ) {
    this.client = new CallerClient(options.key);
  }

  /** Runs programs until the run is over. */
  public async run(): Promise<void> {
    while (!this.options.isOver()) {
      const driven = await this.openProgram();
      if (driven !== undefined) {
        await this.runProgram(driven);
      }
    }
  }

  private async openProgram(): Promise<DrivenProgram | undefined> {
    try {
      const opened = await this.client.openProgram(this.randomAddress(), 'trace');
      if (opened.status !== 201) {
        await pause(PAUSE_AFTER_REFUSAL_MILLISECONDS);
        return undefined;
      }
      const marker = `<${this.name}-${this.nextProgram++}>`;
      const driven = { calls: [], marker, program: String(opened.body['program']) };
      this.programs.push(driven);
      return driven;
    } catch {
      await pause(PAUSE_AFTER_REFUSAL_MILLISECONDS);
      return undefined;
    }
  }

  private async runProgram(driven: DrivenProgram): Promise<void> {
    const turns = 1 + this.options.random.below(this.options.maximumTurns);
    for (let turn = 1; turn <= turns && !this.options.isOver(); turn++) {
      const isOrder = this.options.random.below(CALLS_PER_ORDER) === 0;
      const call: DrivenCall = {
        call: `${driven.marker.slice(1, -1)}-${turn}`,
        input: `${driven.marker} turn ${turn}`,
        isDurable: false,
        service: isOrder ? 'ticket-app' : 'minutes-llm',
        text: undefined,
        ranReports: [],
        turn,
      };
      driven.calls.push(call);
      if (!(await this.sendUntilAnswered(driven, call))) {
        return;
      }
    }
  }

  /** Sends a call until its answer is complete; returns `false` if it cannot be any more. */
  private async sendUntilAnswered(driven: DrivenProgram, call: DrivenCall): Promise<boolean> {
    while (!this.options.isOver()) {
      const answer = await this.send(driven, call);
      if (answer?.closed !== undefined) {
        call.text = answer.text;
        call.isDurable = answer.closed['durable'] === true;
        call.ranReports.push('yes');
        return true;
      }
      const kind = readErrorField(answer, 'kind', 'no-answer');
      call.ranReports.push(readErrorField(answer, 'ran', 'maybe'));
      const isFinal = ['call-outcome-unknown', 'program-not-found', 'turn-conflict'].includes(kind);
      if (isFinal) {
        return false;
      }
      await pause(PAUSE_AFTER_REFUSAL_MILLISECONDS);
    }
    return false;
  }

  private async send(driven: DrivenProgram, call: DrivenCall): Promise<CallAnswer | undefined> {
    try {
      return await this.client.call(this.randomAddress(), driven.program, {
        call: call.call,
        input: call.input,
        maxTokens: ANSWER_TOKENS,
        path: `/orders/${call.call}`,
        service: call.service,
        timeoutSeconds: CALL_TIMEOUT_SECONDS,
        turn: call.turn,
      });
    } catch {
      return undefined;
    }
  }

  private randomAddress(): string {
    return this.options.random.pick(this.options.fleet.instances).callerAddress;
  }
}

/** Waits for a number of milliseconds. */
export async function pause(milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds));
}

function readErrorField(answer: CallAnswer | undefined, field: string, fallback: string): string {
  const value = answer?.error?.[field];
  return typeof value === 'string' ? value : fallback;
}
