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

/** Client of one instance. Failures are returned as text. */
export interface OperatorClient {
  status(): Promise<Result<StatusResponse, string>>;
  showProgram(program: string): Promise<Result<ShowProgramResponse, string>>;
  readConfiguration(after: number): Promise<Result<ReadConfigurationResponse, string>>;
}

/** Creates clients of instances and owns their connections. */
export interface OperatorClients {
  /** Returns a client of the instance with this peer address. */
  clientFor(address: string): OperatorClient;
  /** Closes all connections. */
  close(): void;
}

const TIMEOUT_MILLISECONDS = 3_000;

/** Clients that communicate over HTTP/2, with one connection per instance. */
export class ConnectOperatorClients implements OperatorClients {
  private readonly sessions = new Map<string, SessionManager>();

  public clientFor(address: string): OperatorClient {
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
    return await toResult(this.client.status({}, { timeoutMs: TIMEOUT_MILLISECONDS }));
  }

  public async showProgram(program: string): Promise<Result<ShowProgramResponse, string>> {
    return await toResult(
      this.client.showProgram({ program }, { timeoutMs: TIMEOUT_MILLISECONDS }),
    );
  }

  public async readConfiguration(
    after: number,
  ): Promise<Result<ReadConfigurationResponse, string>> {
    const request = { after: BigInt(after) };
    const options = { timeoutMs: TIMEOUT_MILLISECONDS };
    return await toResult(this.client.readConfiguration(request, options));
  }
}

async function toResult<Value>(promise: Promise<Value>): Promise<Result<Value, string>> {
  try {
    return Ok(await promise);
  } catch (failure) {
    return Err(failureText(failure));
  }
}
