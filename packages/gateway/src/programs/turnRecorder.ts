import type { StreamObserver } from '../callers/answerSink.js';
import type { KeptTurnDraft } from './keptTurns.js';
import type { BudgetReservation } from './turnBudgets.js';

/**
 * Counts what a turn hands over, and keeps it where the route asks for that.
 *
 * @example
 * const recorder = new TurnRecorder(reservation, draft, signal);
 */
export class TurnRecorder implements StreamObserver {
  private events = 0;

  public constructor(
    private readonly reservation: BudgetReservation | undefined,
    private readonly draft: KeptTurnDraft | undefined,
    private readonly signal: AbortSignal,
  ) {}

  public onEvent(data: Buffer): void {
    this.events++;
    this.draft?.addOutput(data);
  }

  public async beforeEnd(): Promise<boolean> {
    return (await this.draft?.save(this.signal)) ?? true;
  }

  /** Frees the tokens that were held and not handed over. */
  public settle(): void {
    this.reservation?.settle(this.events * this.reservation.tokensPerEvent);
  }
}
