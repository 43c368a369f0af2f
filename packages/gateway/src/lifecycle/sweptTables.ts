import type { SweptTable } from '../store/rowSweeper.js';

import { sweptPeers } from '../peers/registrationRow.js';
import { sweptBudgets } from '../programs/storeTokenAccounts.js';
import { sweptTurns } from '../programs/storedTurnRows.js';
import { sweptCrashes } from '../upstreams/crashRecord.js';
import { sweptTrials } from '../upstreams/crashTrials.js';
import { sweptStreams } from '../upstreams/streamOrigins.js';

/** Tables whose expired rows an instance removes, since the store removes none by itself. */
export const sweptTables: readonly SweptTable[] = [
  sweptTurns,
  sweptBudgets,
  sweptCrashes,
  sweptPeers,
  sweptStreams,
  sweptTrials,
];
