import type { TimerService } from '@zincring/core';
import type { VersionedChanges } from '@zincring/coordination';
import type { InstanceDirectory } from '@zincring/platform';

import type { OperatorClients } from './operatorClients.js';
import type { Output } from './output.js';

/** Everything that the commands reach outside themselves. */
export interface ControlContext {
  readonly changes: VersionedChanges;
  readonly directory: InstanceDirectory;
  readonly operators: OperatorClients;
  readonly timers: TimerService;
  readonly output: Output;
  /** Reads a file as UTF-8 text; rejects when it cannot. */
  readonly readFile: (path: string) => Promise<string>;
  /** Random bytes from a cryptographic source. */
  readonly randomBytes: (count: number) => Buffer;
}

/** Who asks for a change, and why. */
export interface ChangeRequester {
  readonly requester: string;
  readonly reason: string;
}

/** What every command that changes something takes. */
export interface ChangeOptions extends ChangeRequester {
  /** Identifier of the change; asking again with the same one is harmless. */
  readonly changeId: string;
  /** How long to wait until the change is in force everywhere; 0 for not at all. */
  readonly waitSeconds: number;
}
