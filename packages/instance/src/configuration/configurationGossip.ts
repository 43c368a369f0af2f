import type { InstanceId } from '@zincring/core';

import { z } from 'zod';

import type { GossipParticipant } from '../peers/gossipParticipant.js';
import type { ConfigurationFollower } from './configurationFollower.js';

const gossipSchema = z.object({
  /** Version in force at the sender. */
  version: z.number().int().nonnegative(),
  /** Newest version that the sender knows to have been accepted. */
  newest: z.number().int().nonnegative(),
  /** Time since the sender itself read the store, in milliseconds. */
  storeAge: z.number().nonnegative().optional(),
});

/** Gossips the version of the configuration that is in force, and the newest one known. */
export class ConfigurationGossip implements GossipParticipant {
  public readonly key = 'configuration';

  public constructor(private readonly follower: ConfigurationFollower) {}

  public createUpdate(): string {
    const { newestVersion, storeAgeMilliseconds, version } = this.follower;
    const storeAge =
      storeAgeMilliseconds === undefined ? undefined : Math.ceil(storeAgeMilliseconds);
    return JSON.stringify({ newest: newestVersion, storeAge, version });
  }

  public applyUpdate(instance: InstanceId, value: string): void {
    const parsed = gossipSchema.safeParse(parseJson(value));
    if (parsed.success) {
      this.follower.recordPeerReport({
        instance,
        newestVersion: parsed.data.newest,
        storeAgeMilliseconds: parsed.data.storeAge,
        version: parsed.data.version,
      });
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
