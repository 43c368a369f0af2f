/** Where the answer to one request goes. Headers are flat lists of names and values. */
export interface AnswerSink {
  /** Whether any of the answer was handed over. */
  readonly isStarted: boolean;
  /** Hands over a whole answer. */
  sendWhole(status: number, headers: readonly string[], body: Buffer): void;
  /** Begins an answer whose body comes in pieces. */
  open(status: number, headers: readonly string[]): void;
  /** Hands over a piece and waits while the caller is slow to read. */
  write(bytes: Buffer): Promise<void>;
  /** Ends a body that is complete. */
  end(): void;
  /** Breaks the answer off so that it cannot look complete. */
  cut(): void;
}

/** Sees the events of a stream as they are handed over. */
export interface StreamObserver {
  onEvent(data: Buffer): void;
  /** Called when the stream is complete, before the caller learns it; `false` breaks it off. */
  beforeEnd(): Promise<boolean>;
}
