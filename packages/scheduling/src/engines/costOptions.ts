/** How samples of one quantity are averaged and forgotten. */
export interface SampleOptions {
  /** Ratio to the mean above which, and below whose inverse, a sample counts as that ratio. */
  readonly clipRatio: number;
  /** Share of its distance that a sample above the mean counts; below 1, the mean is drawn to the lower samples. */
  readonly raiseShare: number;
  /** Time in which samples lose half of their weight, in milliseconds. */
  readonly halfLifeMilliseconds: number;
  /** Number of recent samples as which the fallback counts beside the mean. */
  readonly fallbackSamples: number;
  /** Time after the last sample from which the mean says nothing, in milliseconds. */
  readonly maximumAgeMilliseconds: number;
}

/** Options of the costs that are learned from exchanges with replicas. */
export interface LearnedCostOptions {
  /** Time to compute a prompt token before any was seen, in milliseconds. */
  readonly prefillMillisecondsPerToken: number;
  /** Time of a turn at an engine before any was seen, in milliseconds. */
  readonly turnMilliseconds: number;
  /** Time of a call to a plain service before any was seen, in milliseconds. */
  readonly callMilliseconds: number;
  /** What each further request of a batch adds to a turn, as a share of the turn. */
  readonly batchShare: number;
  /** Samples of what a service takes, by which its replicas are measured. */
  readonly service: SampleOptions;
  /** Samples of how slow one run of a replica is. */
  readonly replica: SampleOptions;
  /** Number of recent samples of a service below which its replicas are not measured by it. */
  readonly minimumSamples: number;
  /** Slowness from which a replica is judged slow. */
  readonly slowFrom: number;
  /** Slowness below which a replica that was judged slow is judged well again. */
  readonly wellBelow: number;
}

/** Costs before anything was seen are those of a common engine; see docs/design/engine-costs.md. */
export const defaultLearnedCostOptions: LearnedCostOptions = {
  batchShare: 15 / 350,
  callMilliseconds: 40,
  minimumSamples: 5,
  prefillMillisecondsPerToken: 1 / 147,
  replica: {
    clipRatio: 2,
    fallbackSamples: 2,
    halfLifeMilliseconds: 2_500,
    maximumAgeMilliseconds: 15_000,
    // A replica is as slow as its better answers: others are held up by the prompts of its neighbours.
    raiseShare: 0.55,
  },
  service: {
    clipRatio: 2,
    fallbackSamples: 5,
    halfLifeMilliseconds: 6_000,
    maximumAgeMilliseconds: 60_000,
    raiseShare: 1,
  },
  slowFrom: 1.5,
  turnMilliseconds: 350,
  wellBelow: 1.4,
};
