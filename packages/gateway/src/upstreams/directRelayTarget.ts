import type { AvailabilityZone } from '@zincring/core';

import type { HeaderCodec } from '../callers/requestFacts.js';
import type { RelayAcceptance, RelayTarget } from '../peers/relayServer.js';
import type { Announcements } from './announcements.js';
import type { ReplicaEntry, ReplicaRunId } from './replica.js';
import type { ReplicaDirectory } from './replicaDirectory.js';
import type { ExchangeOutcome, ReplicaRequest } from './replicaExchange.js';
import type { ReplicaLoads } from './replicaLoads.js';
import type { ReplicaTransport } from './replicaTransport.js';

/** Dependencies of a {@link DirectRelayTarget}. */
export interface DirectRelayTargetDependencies {
  readonly announcements: Announcements;
  readonly directory: ReplicaDirectory;
  readonly headerCodec: HeaderCodec;
  readonly loads: ReplicaLoads;
  readonly transport: ReplicaTransport;
  readonly isStopping: () => boolean;
  readonly isZoneEvacuated: (zone: AvailabilityZone) => boolean;
}

/** Reason for which a replica of an evacuated availability zone gets no relayed request. */
const EVACUATED_REASON = 'the availability zone of the replica is evacuated';

/** Relays requests of other instances over the connections of this one, never through a third instance. */
export class DirectRelayTarget implements RelayTarget {
  public constructor(private readonly dependencies: DirectRelayTargetDependencies) {}

  public accept(run: ReplicaRunId): RelayAcceptance {
    const { directory, isStopping, isZoneEvacuated, loads, transport } = this.dependencies;
    if (isStopping()) {
      return { kind: 'unavailable', reason: 'the instance is stopping' };
    }
    if (transport.isPathSuspect) {
      return { kind: 'unavailable', reason: 'the instance may not reach the replicas itself' };
    }
    const entry = directory.listAll().find(({ runId }) => runId === run);
    if (entry === undefined) {
      return { kind: 'unavailable', reason: 'the replica is not known to the instance' };
    }
    if (entry.isDraining || loads.isLeaving(entry)) {
      return { kind: 'not-sent', reason: 'the replica is leaving' };
    }
    if (isZoneEvacuated(entry.availabilityZone)) {
      return { kind: 'not-sent', reason: EVACUATED_REASON };
    }
    return { entry, kind: 'accepted' };
  }

  public async exchange(entry: ReplicaEntry, request: ReplicaRequest): Promise<ExchangeOutcome> {
    const { announcements, headerCodec, isZoneEvacuated, loads, transport } = this.dependencies;
    // The zone may have been evacuated while the body was on its way.
    if (isZoneEvacuated(entry.availabilityZone)) {
      return { isPathFault: false, kind: 'not-sent', reason: EVACUATED_REASON };
    }
    const load = loads.findOrAddState(entry);
    load.inFlight++;
    const { requestId } = headerCodec.readFacts(request.headers);
    const outcome = await transport.exchangeDirectly(entry, { ...request, requestId });
    if (outcome.kind !== 'answered') {
      load.inFlight--;
      return outcome;
    }
    const { body, status } = outcome.response;
    announcements.record(entry, status, outcome.facts);
    const end = (): void => {
      load.inFlight--;
    };
    if (body.closed) {
      end();
    } else {
      body.once('close', end);
    }
    return outcome;
  }
}
