import type { StreamObserver } from '../callers/responseSink.js';
import type { TurnDraft } from './turnStore.js';
import type { BudgetReservation } from './turnBudgets.js';

/**
 * Counts the events of a turn for its token reservation and collects them if the turn is to be stored.
 *
 * @example
 * const recorder = new TurnRecorder(reservation, draft, signal);
 */
export class TurnRecorder implements StreamObserver {
  private eventCount = 0;

  public constructor(
    private readonly reservation: BudgetReservation | undefined,
    private readonly draft: TurnDraft | undefined,
    private readonly signal: AbortSignal,
  ) {}

  public onEvent(data: Buffer): void {
    this.eventCount++;
    this.draft?.addOutput(data);
  }

  public async beforeEnd(): Promise<boolean> {
    return (await this.draft?.save(this.signal)) ?? true;
  }

  /** Releases the reserved tokens that were not delivered. */
  public settle(): void {
    this.reservation?.settle(this.eventCount * this.reservation.tokensPerEvent);
  }
}
