import { ManualTimerService } from '@zincring/core';
import { beforeEach, describe, expect, it } from 'vitest';

import type { AdmittedReplica, ReplicaChooser } from '../../src/upstreams/chooseAdmittedReplica.js';
import type { ReplicaEntry } from '../../src/upstreams/replica.js';

import { chooseAdmittedReplica } from '../../src/upstreams/chooseAdmittedReplica.js';
import { PermitFleet } from '../support/permitFleet.js';
import { engineService, sampleFacts, sampleReplica } from '../support/samples.js';

describe(chooseAdmittedReplica, () => {
  const entries = [sampleReplica('r0'), sampleReplica('r1'), sampleReplica('r2')];
  const [first, second, third] = entries as [ReplicaEntry, ReplicaEntry, ReplicaEntry];
  let timers: ManualTimerService;
  let fleet: PermitFleet;

  /** Prefers the replicas in their order. */
  const pool: ReplicaChooser = {
    choose: ({ excluded }) => entries.find(({ runId }) => !excluded.has(runId)),
  };

  beforeEach(async () => {
    timers = new ManualTimerService();
    fleet = new PermitFleet(timers, 1);
    await timers.advance(10_000);
  });

  async function choose(chooser = pool): Promise<AdmittedReplica> {
    const request = {
      excluded: new Set<ReplicaEntry['runId']>(),
      facts: sampleFacts(),
      isSticky: false,
      service: engineService,
      softwareVersion: undefined,
    };
    return await chooseAdmittedReplica(chooser, fleet.instances[0]!.permits, request, 400);
  }

  function limit(rates: ReadonlyMap<ReplicaEntry, number>): void {
    for (const [entry, rate] of rates) {
      fleet.instances[0]!.permits.record(entry, rate);
    }
  }

  it('keeps to the best replica while it has permits and uses the next one otherwise', async () => {
    limit(new Map([[first, 1]]));
    expect(await choose()).toMatchObject({ delayMilliseconds: 0, entry: first });
    expect(await choose()).toMatchObject({ delayMilliseconds: 0, entry: second });
    await timers.advance(1_000);
    expect(await choose()).toMatchObject({ delayMilliseconds: 0, entry: first });
  });

  it('waits for the earliest permit when all replicas are limited', async () => {
    limit(
      new Map([
        [first, 1],
        [second, 4],
        [third, 1],
      ]),
    );
    for (const entry of entries) {
      expect(await choose()).toMatchObject({ delayMilliseconds: 0, entry });
    }
    expect(await choose()).toMatchObject({ delayMilliseconds: 250, entry: second });
  });

  it('refuses at once, with the time to the next permit, when no permit is free in time', async () => {
    limit(
      new Map([
        [first, 0.5],
        [second, 1],
        [third, 0.5],
      ]),
    );
    await Promise.all(entries.map(async () => choose()));
    expect(await choose()).toEqual({ kind: 'none', retryAfterMilliseconds: 1_000 });
  });

  it('names no time when there is no replica', async () => {
    expect(await choose({ choose: () => undefined })).toEqual({
      kind: 'none',
      retryAfterMilliseconds: undefined,
    });
  });
});
