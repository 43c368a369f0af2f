/**
 * How the end of a body is marked: by its chunks, by its announced length, or by the end of its
 * connection, which does not prove that the body is complete.
 */
export type BodyFraming = 'chunked' | 'connection' | 'length';

/** Destination of the response to one request. Header lists are flat: name, value, name, value. */
export interface ResponseSink {
  /** Whether the head of the response has been written. */
  readonly isStarted: boolean;
  /** Sends a response. Its length is announced unless the framing is `connection`. */
  send(status: number, headers: readonly string[], body: Buffer, framing?: BodyFraming): void;
  /** Starts a response whose body follows. Only {@link ResponseSink.end} makes that body look complete. */
  startStream(status: number, headers: readonly string[]): void;
  /** Writes a chunk of the body and waits while the caller is so far behind that no more may be held for it. */
  write(bytes: Buffer): Promise<void>;
  /** Ends a complete body. */
  end(): void;
  /** Closes or resets the connection, which the caller recognizes as an incomplete response. */
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
