import type { InstanceId, Logger, Metrics, TimerService } from '@zincring/core';
import type { Membership } from '@zincring/coordination';
import type { Platform } from '@zincring/platform';

import { VersionedChanges } from '@zincring/coordination';

import type { Settings } from '../lifecycle/settings.js';
import type { ConfigurationSource } from './configurationSource.js';

import { ConfigurationFreshness } from './configurationFreshness.js';
import { ConfigurationFollower } from './configurationFollower.js';
import { PeerConfigurationSource } from './peerConfigurationSource.js';
import { StoreConfigurationSource } from './storeConfigurationSource.js';

/** Dependencies of the configuration follower of an instance. */
export interface CreateConfigurationFollowerOptions {
  readonly settings: Settings;
  readonly platform: Platform;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly membership: Membership;
}

/** Creates the configuration follower of an instance without starting it. */
export function createConfigurationFollower(
  options: CreateConfigurationFollowerOptions,
): ConfigurationFollower {
  const { logger, membership, metrics, platform, settings, timers } = options;
  const findPeerSource = (instance: InstanceId): ConfigurationSource | undefined => {
    const known = membership.known.find(({ id }) => id === instance);
    return known === undefined ? undefined : new PeerConfigurationSource(known.address);
  };
  return new ConfigurationFollower({
    freshness: new ConfigurationFreshness({
      contactMilliseconds: settings.configurationContactMilliseconds,
      listOtherInstances: () => membership.known.map(({ id }) => id),
      timers,
    }),
    logger,
    metrics,
    findPeerSource,
    pollMilliseconds: settings.configurationPollMilliseconds,
    store: new StoreConfigurationSource(
      new VersionedChanges({ ...platform, name: 'configuration', timers }),
    ),
    timers,
  });
}
