import type { Fleet } from '../launch/fleet.js';
import type { RandomSource } from '../util/randomSource.js';

import { CallerClient, type CallResponse } from '../launch/callerClient.js';

/** A call, with the state that its caller records. */
export interface DrivenCall {
  readonly call: string;
  readonly service: string;
  readonly turn: number;
  readonly input: string;
  /**
   * For each attempt: `ran` of its error, `maybe` without a response, `yes` for a complete one.
   */
  readonly ranReports: string[];
  /** Text of the complete response; `undefined` until it arrives. */
  text: string | undefined;
  /** Whether the response reported the turn as durable. */
  isDurable: boolean;
}

/** A program, with the calls that its caller has made. */
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
const RESPONSE_TOKENS = 12;
/** Average number of calls for each one that goes to the service with side effects. */
const CALLS_PER_ORDER = 3;

/** Runs one program after the other until the run is over; resends calls without a response. */
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

  /**
   * Sends a call until its response is complete; returns `false` if an error is final or the run is
   * over.
   */
  private async sendUntilAnswered(driven: DrivenProgram, call: DrivenCall): Promise<boolean> {
    while (!this.options.isOver()) {
      const response = await this.send(driven, call);
      if (response?.closed !== undefined) {
        call.text = response.text;
        call.isDurable = response.closed['durable'] === true;
        call.ranReports.push('yes');
        return true;
      }
      const kind = readErrorField(response, 'kind', 'no-answer');
      call.ranReports.push(readErrorField(response, 'ran', 'maybe'));
      const isFinal = ['call-outcome-unknown', 'program-not-found', 'turn-conflict'].includes(kind);
      if (isFinal) {
        return false;
      }
      await pause(PAUSE_AFTER_REFUSAL_MILLISECONDS);
    }
    return false;
  }

  private async send(driven: DrivenProgram, call: DrivenCall): Promise<CallResponse | undefined> {
    try {
      return await this.client.call(this.randomAddress(), driven.program, {
        call: call.call,
        input: call.input,
        maxTokens: RESPONSE_TOKENS,
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

function readErrorField(
  response: CallResponse | undefined,
  field: string,
  fallback: string,
): string {
  const value = response?.error?.[field];
  return typeof value === 'string' ? value : fallback;
}
