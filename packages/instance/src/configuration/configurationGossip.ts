import type { InstanceId } from '@zincring/core';

import { z } from 'zod';

import type { GossipParticipant } from '../peers/gossipParticipant.js';
import type { ConfigurationFollower } from './configurationFollower.js';

const toldSchema = z.object({
  /** Version in force at the teller. */
  version: z.number().int().nonnegative(),
  /** Newest version that the teller knows to have been accepted. */
  newest: z.number().int().nonnegative(),
  /** Milliseconds since the teller itself read the store. */
  storeAge: z.number().nonnegative().optional(),
});

/** Tells peers which version of the configuration is in force, and hears of newer ones. */
export class ConfigurationGossip implements GossipParticipant {
  public readonly key = 'configuration';

  public constructor(private readonly follower: ConfigurationFollower) {}

  public tell(): string {
    const { newestVersion, storeAgeMilliseconds, version } = this.follower;
    const storeAge =
      storeAgeMilliseconds === undefined ? undefined : Math.ceil(storeAgeMilliseconds);
    return JSON.stringify({ newest: newestVersion, storeAge, version });
  }

  public hear(instance: InstanceId, value: string): void {
    const told = toldSchema.safeParse(parseJson(value));
    if (told.success) {
      this.follower.hear({
        instance,
        newestVersion: told.data.newest,
        storeAgeMilliseconds: told.data.storeAge,
        version: told.data.version,
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
