import type { ManualTimerService, WorkspaceName } from '@zincring/core';
import type { PartitionedTable } from '@zincring/platform';

import { silentLogger } from '@zincring/core';

import type { RequestId, TurnId } from '../../src/callers/requestFacts.js';
import type { SweptTable } from '../../src/store/rowSweeper.js';
import type { MemoryTable } from './memoryTable.js';

import { sweptTurns } from '../../src/programs/storedTurnRows.js';
import { TurnStore } from '../../src/programs/turnStore.js';
import { MonitoredTable } from '../../src/store/monitoredTable.js';
import { finishWithin } from './finishWithin.js';
import { sampleRoute, sampleTurn } from './samples.js';
import { sweepAll } from './sweepAll.js';

/** Retention of the routes, in milliseconds: that of the deployments. */
export const RETENTION_MILLISECONDS = 60_000;
export const route = sampleRoute({
  retentionMilliseconds: RETENTION_MILLISECONDS,
  storesTurns: true,
});

/** A turn to run, and the turn that it continues. */
export interface ConversationTurn {
  readonly id: string;
  readonly input: string;
  readonly outputs?: readonly string[];
  readonly previous?: string | undefined;
}

/** Outcome of a turn: the body that its replica got, or the kind of the refusal. */
export interface TurnOutcome {
  readonly body: string | undefined;
  readonly failure: string | undefined;
  readonly isStored: boolean;
}

/** The instances of a fleet that keep conversations, as callers see them; each call may reach another instance. */
export class ConversationFleet {
  public constructor(
    private readonly timers: ManualTimerService,
    private readonly store: MemoryTable,
    private readonly rowBytes = 65_536,
  ) {}

  /** Starts an instance, which knows nothing of what others have cached. */
  public start(client: PartitionedTable = this.store.client()): TurnStore {
    return new TurnStore({
      logger: silentLogger,
      random: () => 0.5,
      rowBytes: this.rowBytes,
      table: new MonitoredTable(client, this.timers),
      timers: this.timers,
    });
  }

  /** Runs a turn at an instance; its response ends once the turn is stored. */
  public async run(
    instance: TurnStore,
    { id, input, outputs = [], previous }: ConversationTurn,
    limitMilliseconds = 3_000,
  ): Promise<TurnOutcome> {
    const request = sampleTurn(
      id,
      { previousTurn: previous as TurnId | undefined, requestId: id as RequestId },
      { body: Buffer.from(input), route, workspace: 'clerks' as WorkspaceName },
    );
    const controller = new AbortController();
    this.timers.after(limitMilliseconds, () => {
      controller.abort();
    });
    const composing = instance.compose(request, controller.signal);
    const composed = await finishWithin(this.timers, composing, limitMilliseconds + 1_000);
    if (composed.err) {
      return { body: undefined, failure: composed.val.kind, isStored: false };
    }
    outputs.forEach(output => composed.val.turn?.addOutput(Buffer.from(output)));
    const saving = composed.val.turn?.save(controller.signal) ?? Promise.resolve(false);
    const isStored = await finishWithin(this.timers, saving, limitMilliseconds + 1_000);
    return { body: composed.val.body.toString(), failure: undefined, isStored };
  }

  /** Removes all rows that have expired, as the sweeps of all instances do in time. */
  public async sweep(sweptTable: SweptTable = sweptTurns): Promise<void> {
    await sweepAll(this.store, this.timers, sweptTable);
  }
}
