import type { GatewayRoute } from '../../src/configuration/gatewayConfiguration.js';
import type { Behaviour } from './fakeReplica.js';

import { responds, streamsEvents } from './fakeReplica.js';
import { resumableRoute, safeRoute, streamRoute, unsafeRoute } from './gatewayFixture.js';

/** Each kind of route, with the behaviour of a sound replica. */
export const routeCases: readonly (readonly [string, GatewayRoute, Behaviour])[] = [
  ['an unsafe route', unsafeRoute, responds('done')],
  ['a safe route', safeRoute, responds('done')],
  ['streams', streamRoute, streamsEvents([1, 2], 'whole')],
  ['streams that may be resumed', resumableRoute, streamsEvents([1, 2], 'whole')],
];
