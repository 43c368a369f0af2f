/** Destination of the response to one request. Header lists are flat: name, value, name, value. */
export interface ResponseSink {
  /** Whether the head of the response has been written. */
  readonly isStarted: boolean;
  /** Sends a complete response. */
  send(status: number, headers: readonly string[], body: Buffer): void;
  /** Starts a response whose body follows in chunks. */
  startStream(status: number, headers: readonly string[]): void;
  /** Writes a chunk of the body and waits while the caller is slow to read. */
  write(bytes: Buffer): Promise<void>;
  /** Ends a complete body. */
  end(): void;
  /** Closes the connection, which the caller recognizes as an incomplete response. */
  abort(): void;
}

/** Observes the events of a stream as they are forwarded to the caller. */
export interface StreamObserver {
  onEvent(data: Buffer): void;
  /**
   * Called once the stream is complete, before the end of the body is written; `false` leaves the
   * response incomplete.
   */
  beforeEnd(): Promise<boolean>;
}
