import type { ReplicaRunId } from '../replica.js';
import type { AnnouncedRate } from './announcedRate.js';

/** Request of an instance for a permit to send one request to a replica. */
export interface PermitRequest {
  readonly replica: ReplicaRunId;
  /** The rate of the replica as the instance last observed it. */
  readonly announced: AnnouncedRate;
  /** Time for which the instance would wait for the permit, in milliseconds. */
  readonly maximumWaitMilliseconds: number;
  /** Unused time that permits may make up for at once, in milliseconds; that of the owner if absent. */
  readonly burstMilliseconds?: number | undefined;
}

/** What an instance observed without asking for a permit. */
export type RateReport = Omit<PermitRequest, 'burstMilliseconds' | 'maximumWaitMilliseconds'>;

/** Reply to a {@link PermitRequest}. */
export type PermitReply =
  | {
      readonly kind: 'denied';
      /** Time until the next permit, in milliseconds. */
      readonly retryAfterMilliseconds: number;
      /** Latest observation of all instances that have asked. */
      readonly announced: AnnouncedRate;
    }
  | {
      readonly kind: 'granted';
      /** Time after which the request may be sent, in milliseconds. */
      readonly delayMilliseconds: number;
      readonly announced: AnnouncedRate;
    }
  | { readonly kind: 'unreachable' };

/** Grants the permits for replicas whose rate is limited. */
export interface PermitOwner {
  /** Asks for a permit. */
  acquirePermit(request: PermitRequest): Promise<PermitReply>;
  /** Reports an observation; returns whether it arrived. */
  reportRate(report: RateReport): Promise<boolean>;
}
