import type { EngineLoad } from './playPrograms.js';

/** Two kinds with priorities 0 and 2 of which far more begin than the engines can serve; one workspace sends seven times its usual. */
export const competingPrograms: EngineLoad = {
  engines: 14,
  instances: 40,
  kinds: [
    {
      inputTokens: 1_680,
      name: 'short',
      priority: 0,
      share: 0.7,
      thinkMilliseconds: 60,
      turns: [2, 4],
      worth: 1.8,
    },
    {
      inputTokens: 840,
      name: 'long',
      priority: 2,
      share: 0.3,
      thinkMilliseconds: 60,
      turns: [6, 12],
      worth: 0.52,
    },
  ],
  objectiveFactor: 1.5,
  pickWorkspace: (now, random) => {
    // The first workspace sends a twentieth of all programs, and then seven times as many.
    const isHot = now >= 4_000 && now < 10_000;
    const index = Math.floor(random * (20 + (isHot ? 6 : 0)));
    return index >= 20 ? 'workspace-0' : `workspace-${String(index)}`;
  },
  programsPerSecond: now => 62 * (now >= 4_000 && now < 10_000 ? 3 : 1),
  seconds: 14,
  seed: 1,
  sharedPrompts: 3,
  sharedTokens: 12_600,
  sheet: {
    cacheTokens: 294_000,
    prefillTokensPerMillisecond: 256,
    queue: 36,
    slots: 12,
    stepMilliseconds: 0.925,
    stepMillisecondsPerRequest: 0.00483,
  },
};
