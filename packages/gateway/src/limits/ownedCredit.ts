import type { NamedRateLimit } from './creditSource.js';

/** Why an owner cannot be used: it did not respond, or it cannot reach the store. */
export type OwnerFailure = 'unreachable' | 'without-store';

/** Answer of the instance that owns a bucket: `pending` if it has no credit yet but may soon. */
export type OwnedCreditReply =
  | {
      readonly kind: 'denied';
      readonly isOverRate: boolean;
      readonly retryAfterMilliseconds: number;
    }
  | { readonly kind: 'granted' | 'pending'; readonly isOverRate: boolean }
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'without-store' };

/** Credit of buckets that another instance or this one owns. */
export interface OwnedCredit {
  /** Spends credit for one request; answers soon even if there is none. */
  acquireOwned(bucket: NamedRateLimit): Promise<OwnedCreditReply>;
}
