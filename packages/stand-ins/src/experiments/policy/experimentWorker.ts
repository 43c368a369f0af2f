import { parentPort } from 'node:worker_threads';

import type { ExperimentJob } from './experimentJob.js';

import { runJob } from './experimentJob.js';

parentPort?.on('message', (job: ExperimentJob) => {
  parentPort?.postMessage(runJob(job));
});
