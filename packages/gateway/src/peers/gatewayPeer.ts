import type { OwnedCredit } from '../limits/ownedCredit.js';
import type { OwnedTokens } from '../programs/tokenAccounts.js';

/** What instances ask of the owner of a bucket or of a program. */
export type GatewayPeer = OwnedCredit & OwnedTokens;
