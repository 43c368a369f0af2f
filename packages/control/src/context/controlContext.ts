import type { TimerService } from '@zincring/core';
import type { VersionedChanges } from '@zincring/coordination';
import type { InstanceDirectory } from '@zincring/platform';

import type { OperatorClients } from './operatorClients.js';
import type { Output } from './output.js';

/** External dependencies of the commands. */
export interface ControlContext {
  readonly changes: VersionedChanges;
  readonly directory: InstanceDirectory;
  readonly operators: OperatorClients;
  readonly timers: TimerService;
  readonly output: Output;
  /** Reads a file as UTF-8 text; rejects if it cannot be read. */
  readonly readFile: (path: string) => Promise<string>;
  /** Returns random bytes from a cryptographically secure source. */
  readonly randomBytes: (count: number) => Buffer;
}

/** Requester of a change and the reason for it. */
export interface ChangeRequester {
  readonly requester: string;
  readonly reason: string;
}

/** Options of every command that changes rules. */
export interface ChangeOptions extends ChangeRequester {
  /** Identifier of the change; repeating a command with the same one has no further effect. */
  readonly changeId: string;
  /** Maximum time to wait until the change is in force on every live instance; 0 for no wait. */
  readonly waitSeconds: number;
}
