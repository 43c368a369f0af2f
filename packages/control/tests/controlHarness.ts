import type { DirectoryEntry } from '@zincring/platform';
import type { ControlContext, ExitCode, OperatorClient } from '../src/index.js';

import { create } from '@bufbuild/protobuf';
import { VersionedChanges } from '@zincring/coordination';
import { Err, ManualTimerService, Ok } from '@zincring/core';
import {
  ReadConfigurationResponseSchema,
  ShowProgramResponseSchema,
  StatusResponseSchema,
} from '@zincring/protocol';
import {
  FaultSwitch,
  MemoryInstanceDirectory,
  MemoryObjects,
  MemoryObjectStore,
  MemoryTable,
  MemoryTableService,
} from '@zincring/stand-ins';

import { Output } from '../src/index.js';

/** Simulated instance that zincringctl can query. */
export interface FakeInstance {
  readonly id: string;
  version: number;
  /** Version that the instance cannot apply; 0 for none. */
  blockedVersion?: number;
  isUnreachable?: boolean;
  state?: 'leaving' | 'live';
  /** Program whose home is this instance. */
  program?: string;
}

/** Exit code and output of a command. */
export interface CommandResult {
  readonly exitCode: ExitCode;
  readonly standard: string;
  readonly errors: string;
}

export const changeOptions = {
  changeId: 'change-1',
  reason: 'pilot contract',
  requester: 'dana',
  waitSeconds: 0,
};

/** Runs commands of zincringctl in process, with in-memory store and files and fake instances. */
export class ControlHarness {
  public readonly timers = new ManualTimerService();
  public readonly table = new MemoryTable();
  public readonly faults = new FaultSwitch(this.timers);
  public readonly files = new Map<string, string>();
  public readonly instances: FakeInstance[] = [];
  private readonly objects = new MemoryObjects();

  /** Runs a command while advancing the manual clock. */
  public async run(
    command: (context: ControlContext) => Promise<ExitCode>,
    isJson = false,
  ): Promise<CommandResult> {
    const standard: string[] = [];
    const errors: string[] = [];
    const output = new Output({
      errors: { write: text => errors.push(text) },
      isJson,
      standard: { write: text => standard.push(text) },
    });
    const [exitCode] = await Promise.all([
      command(this.context(output)),
      this.timers.advance(60_000),
    ]);
    return { errors: errors.join(''), exitCode, standard: standard.join('') };
  }

  /** Creates a client of the configuration store with the given fault injection. */
  public changes(faults = new FaultSwitch(this.timers)): VersionedChanges {
    return new VersionedChanges({
      name: 'configuration',
      objects: new MemoryObjectStore(this.objects, faults),
      table: new MemoryTableService(this.table, faults),
      timers: this.timers,
    });
  }

  private context(output: Output): ControlContext {
    const directory = new MemoryInstanceDirectory(this.faults);
    directory.entries = this.instances.map(({ id, state = 'live' }) => {
      const entry = { address: id, id, role: { kind: 'entry' }, state, zone: 'nelson' };
      return entry as DirectoryEntry;
    });
    return {
      changes: this.changes(this.faults),
      directory,
      operators: { clientFor: address => this.createClient(address), close: () => undefined },
      output,
      randomBytes: count => Buffer.alloc(count, 7),
      readFile: async path => {
        const text = this.files.get(path);
        return text === undefined
          ? Promise.reject(new Error('no such file'))
          : Promise.resolve(text);
      },
      timers: this.timers,
    };
  }

  private createClient(address: string): OperatorClient {
    const instance = this.instances.find(({ id }) => id === address)!;
    const respond = async <Value>(value: Value): ReturnType<typeof createResult<Value>> =>
      createResult(value, instance.isUnreachable === true);
    return {
      readConfiguration: async () => respond(create(ReadConfigurationResponseSchema, {})),
      showProgram: async program =>
        respond(
          create(ShowProgramResponseSchema, {
            found: instance.program === program,
            holder: instance.id,
            turn: 3,
          }),
        ),
      status: async () =>
        respond(
          create(StatusResponseSchema, {
            blockedReason: 'unknown setting',
            blockedVersion: BigInt(instance.blockedVersion ?? 0),
            configurationVersion: BigInt(instance.version),
            instance: instance.id,
            limits: [{ granted: 5n, refused: 1n, tokens: 2, workspace: 'utility' }],
            ready: true,
            shards: [1, 2],
            upstreams: [
              { id: 'ticket-app-1', service: 'ticket-app', state: 'live', zone: 'trail' },
            ],
          }),
        ),
    };
  }
}

async function createResult<Value>(
  value: Value,
  isUnreachable: boolean,
): Promise<ReturnType<typeof Ok<Value>> | ReturnType<typeof Err<string>>> {
  return await Promise.resolve(isUnreachable ? Err('connection refused') : Ok(value));
}
