import type { TimerService } from '../time/timerService.js';
import type { BytePacer } from './bytePacer.js';

/** A connection with bytes that wait to be parsed. */
export interface WaitingIntake {
  /** Whether more of the bytes may be parsed. */
  readonly canParse: boolean;
  /** Parses some of the bytes; returns the bytes of memory that they cost. */
  takeTurn(): number;
}

/** Time in each iteration of the event loop for connections that take turns, in milliseconds. */
const MILLISECONDS_PER_ITERATION = 2;

/** Bounds of connections that take turns together. */
export interface IntakeTurnsOptions {
  /** Bytes in each iteration of the event loop, for work that follows a turn; unlimited by default. */
  readonly bytesPerIteration?: number;
}

/**
 * Lets connections that send more than an ordinary request take turns, so that parsing what they send
 * takes a bounded share of each iteration of the event loop, however many they are.
 *
 * @example
 * turns.add(intake); // calls intake.takeTurn() in one of the next iterations
 */
export class IntakeTurns {
  /** Connections in the order of their turns. */
  private readonly waiting = new Set<WaitingIntake>();
  private isScheduled = false;

  public constructor(
    private readonly timers: TimerService,
    private readonly pacer: BytePacer,
    private readonly options: IntakeTurnsOptions = {},
  ) {}

  /** Adds a connection unless it waits already. */
  public add(intake: WaitingIntake): void {
    this.waiting.add(intake);
    this.schedule();
  }

  /** Removes a connection that was closed. */
  public remove(intake: WaitingIntake): void {
    this.waiting.delete(intake);
  }

  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) {
      return;
    }
    this.isScheduled = true;
    const run = (): void => {
      this.isScheduled = false;
      this.run();
      this.schedule();
    };
    const delay = this.pacer.delayMilliseconds();
    if (delay === 0) {
      setImmediate(run);
    } else {
      this.timers.after(delay, run);
    }
  }

  private run(): void {
    const endsAt = this.timers.now() + MILLISECONDS_PER_ITERATION;
    let remainingBytes = this.options.bytesPerIteration ?? Infinity;
    for (const intake of this.waiting) {
      if (
        this.pacer.delayMilliseconds() > 0 ||
        this.timers.now() >= endsAt ||
        remainingBytes <= 0
      ) {
        return;
      }
      this.waiting.delete(intake);
      const bytes = intake.takeTurn();
      remainingBytes -= bytes;
      this.pacer.record(bytes);
      if (intake.canParse) {
        this.waiting.add(intake);
      }
    }
  }
}
