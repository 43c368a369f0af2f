import type { Client } from '@connectrpc/connect';
import type {
  ReadConfigurationResponse,
  ShowProgramResponse,
  StatusResponse,
} from '@zincring/protocol';
import type { Result } from '@zincring/core';

import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { Err, failureText, Ok, SessionManager, SystemTimerService } from '@zincring/core';
import { OperatorService } from '@zincring/protocol';

/** What zincringctl asks of one instance; a failure is told as text. */
export interface OperatorClient {
  status(): Promise<Result<StatusResponse, string>>;
  showProgram(program: string): Promise<Result<ShowProgramResponse, string>>;
  readConfiguration(after: number): Promise<Result<ReadConfigurationResponse, string>>;
}

/** Clients of the instances. */
export interface OperatorClients {
  /** The client of a peer address. */
  at(address: string): OperatorClient;
  /** Closes every connection. */
  close(): void;
}

const TIMEOUT_MILLISECONDS = 3_000;

/** Speaks to the instances over HTTP/2, with one connection each. */
export class ConnectOperatorClients implements OperatorClients {
  private readonly sessions = new Map<string, SessionManager>();

  public at(address: string): OperatorClient {
    const baseUrl = `http://${address}`;
    const sessionManager =
      this.sessions.get(address) ?? new SessionManager(baseUrl, new SystemTimerService());
    this.sessions.set(address, sessionManager);
    const transport = createConnectTransport({ baseUrl, httpVersion: '2', sessionManager });
    return new ConnectOperatorClient(createClient(OperatorService, transport));
  }

  public close(): void {
    this.sessions.forEach(session => {
      session.abort();
    });
    this.sessions.clear();
  }
}

class ConnectOperatorClient implements OperatorClient {
  public constructor(private readonly client: Client<typeof OperatorService>) {}

  public async status(): Promise<Result<StatusResponse, string>> {
    return await settle(this.client.status({}, { timeoutMs: TIMEOUT_MILLISECONDS }));
  }

  public async showProgram(program: string): Promise<Result<ShowProgramResponse, string>> {
    return await settle(this.client.showProgram({ program }, { timeoutMs: TIMEOUT_MILLISECONDS }));
  }

  public async readConfiguration(
    after: number,
  ): Promise<Result<ReadConfigurationResponse, string>> {
    const request = { after: BigInt(after) };
    const options = { timeoutMs: TIMEOUT_MILLISECONDS };
    return await settle(this.client.readConfiguration(request, options));
  }
}

async function settle<Value>(promise: Promise<Value>): Promise<Result<Value, string>> {
  try {
    return Ok(await promise);
  } catch (failure) {
    return Err(failureText(failure));
  }
}
