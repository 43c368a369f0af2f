import { parseSettings } from '../../src/lifecycle/settings.js';

/** Default settings of the upstreams module. */
export const upstreamSettings = parseSettings(
  JSON.stringify({
    callerAddress: '127.0.0.1:1',
    instance: 'entry-1',
    operatorAddress: '127.0.0.1:2',
    peerAddress: '127.0.0.1:3',
    platform: { address: '127.0.0.1:4' },
    zone: 'nelson',
  }),
).unwrap().upstreams;
