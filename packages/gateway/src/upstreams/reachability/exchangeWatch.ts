/** Observes the connection of one exchange with a replica. */
export interface ExchangeWatch {
  /** Called first, with a function that ends the exchange as one whose path is lost. */
  onStarted(abandon: () => void): void;
  /** Called if the exchange opened a new connection. */
  onConnected(): void;
  /** Called if no connection could be opened. */
  onConnectionFailed(): void;
  /** Called whenever data arrives. */
  onData(): void;
  /** Called once the response is complete or has failed. */
  onEnded(): void;
}
