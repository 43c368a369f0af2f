import type { AvailabilityZone, Logger, TimerService } from '@zincring/core';
import type { PartitionedRow, RowChange } from '@zincring/platform';

/** What is known of an availability zone that was evacuated at least once. */
interface KnownZone {
  readonly isEvacuated: boolean;
  /** Version of the store as of which this is known. */
  readonly version: number;
  /** Time at which this instance read that the evacuation began or ended, on the monotonic clock, in milliseconds. */
  readonly changedAt: number;
}

/**
 * The availability zones whose replicas must get no requests until the operator takes them back. What was read
 * last holds while the store is away. Each zone keeps the version that decided it, since a snapshot may arrive
 * after later changes.
 *
 * It answers the load at an evacuation: every instance has conversations, retries and relayed requests for the
 * replicas of the zone, and stops them all at once.
 *
 * @example
 * const zones = new EvacuatedZones(key => source.findEvacuatedZone(key), timers, logger);
 * zones.isEvacuated('kaslo' as AvailabilityZone); // false
 */
export class EvacuatedZones {
  private readonly zones = new Map<AvailabilityZone, KnownZone>();

  public constructor(
    /** Returns the availability zone that the row of a key evacuates. */
    private readonly findZone: (key: string) => AvailabilityZone | undefined,
    private readonly timers: TimerService,
    private readonly logger: Logger,
  ) {}

  /** Whether the replicas of an availability zone must get no requests. */
  public isEvacuated(zone: AvailabilityZone): boolean {
    return this.zones.size > 0 && this.zones.get(zone)?.isEvacuated === true;
  }

  /** Time since an availability zone was taken back, in milliseconds; `undefined` if it is evacuated or never was. */
  public millisecondsSinceReturn(zone: AvailabilityZone): number | undefined {
    const known = this.zones.size > 0 ? this.zones.get(zone) : undefined;
    return known === undefined || known.isEvacuated
      ? undefined
      : this.timers.now() - known.changedAt;
  }

  /** Applies changes of the operator's rows. */
  public applyChanges(changes: readonly RowChange[]): void {
    for (const change of changes) {
      const isWritten = change.kind === 'written';
      this.update(change.row.key, isWritten, isWritten ? change.row.version : change.version);
    }
  }

  /** Applies all rows of the operator as of a version. */
  public applySnapshot(rows: readonly PartitionedRow[], version: number): void {
    const present = new Set(rows.map(({ key }) => this.findZone(key)));
    for (const { key, version: rowVersion } of rows) {
      this.update(key, true, rowVersion);
    }
    for (const zone of [...this.zones.keys()].filter(known => !present.has(known))) {
      this.updateZone(zone, false, version);
    }
  }

  private update(key: string, isEvacuated: boolean, version: number): void {
    const zone = this.findZone(key);
    if (zone !== undefined) {
      this.updateZone(zone, isEvacuated, version);
    }
  }

  private updateZone(zone: AvailabilityZone, isEvacuated: boolean, version: number): void {
    const known = this.zones.get(zone);
    if (known !== undefined && version <= known.version) {
      return;
    }
    const hasChanged = isEvacuated !== (known?.isEvacuated ?? false);
    const changedAt = hasChanged || known === undefined ? this.timers.now() : known.changedAt;
    this.zones.set(zone, { changedAt, isEvacuated, version });
    if (hasChanged) {
      this.logger.info(
        { event: isEvacuated ? 'zone-evacuated' : 'zone-taken-back', version, zone },
        isEvacuated
          ? 'the replicas of an availability zone get no further requests'
          : 'the replicas of an availability zone get requests again',
      );
    }
  }
}
