import type { Result } from '@zincring/core';
import type { Change, Update, UpdateRequest } from '@zincring/coordination';
import type { ConfigurationChange, ReadConfigurationResponse } from '@zincring/protocol';

import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { Err, failureText, Ok, SessionManager, SystemTimerService } from '@zincring/core';
import { OperatorService } from '@zincring/protocol';

import type { ConfigurationSource, SourceFailure } from './configurationSource.js';

/** Timeout of a read from a peer, in milliseconds. */
const READ_TIMEOUT_MILLISECONDS = 2_000;

/** Reads the configuration from a peer, for an instance that cannot reach the store. */
export class PeerConfigurationSource implements ConfigurationSource {
  public constructor(private readonly address: string) {}

  public async read({ after }: UpdateRequest): Promise<Result<Update, SourceFailure>> {
    const baseUrl = `http://${this.address}`;
    const sessionManager = new SessionManager(baseUrl, new SystemTimerService());
    try {
      const transport = createConnectTransport({ baseUrl, httpVersion: '2', sessionManager });
      const response = await createClient(OperatorService, transport).readConfiguration(
        { after: BigInt(after) },
        { timeoutMs: READ_TIMEOUT_MILLISECONDS },
      );
      return Ok(updateFromMessage(response));
    } catch (failure) {
      return Err({ message: failureText(failure) });
    } finally {
      sessionManager.abort();
    }
  }
}

function updateFromMessage(message: ReadConfigurationResponse): Update {
  const { snapshot } = message;
  return {
    changes: message.changes.map(changeFromMessage),
    newest: Number(message.newest),
    snapshot:
      snapshot === undefined
        ? undefined
        : { lines: snapshot.lines, version: Number(snapshot.version) },
  };
}

function changeFromMessage(message: ConfigurationChange): Change {
  return {
    added: message.added,
    at: Number(message.at),
    changeId: message.changeId,
    reason: message.reason,
    removed: message.removed,
    requester: message.requester,
    version: Number(message.version),
  };
}
