import type { OwnedCredit } from '../limits/ownedCredit.js';
import type { OwnedTokens } from '../programs/tokenAccounts.js';
import type { PermitOwner } from '../upstreams/permits/permitOwner.js';

/** What instances ask of the owner of a bucket, of a program or of the permits of a replica. */
export type GatewayPeer = OwnedCredit & OwnedTokens & PermitOwner;
