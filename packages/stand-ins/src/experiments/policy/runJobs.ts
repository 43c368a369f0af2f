import { Worker } from 'node:worker_threads';

import type { ExperimentJob } from './experimentJob.js';
import type { ExperimentResult } from './runExperiment.js';

/**
 * Runs jobs on several threads; the results are in the order of the jobs and do not depend on the
 * number of threads.
 *
 * @example
 * const results = await runJobs(jobs, 4);
 */
export async function runJobs(
  jobs: readonly ExperimentJob[],
  threadCount: number,
): Promise<readonly ExperimentResult[]> {
  const results = new Map<number, ExperimentResult>();
  const pendingJobs = [...jobs.entries()];
  const runWorker = async (): Promise<void> => {
    const worker = new Worker(new URL('./experimentWorker.js', import.meta.url));
    for (let next = pendingJobs.shift(); next !== undefined; next = pendingJobs.shift()) {
      const [index, job] = next;
      results.set(index, await runOnWorker(worker, job));
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({ length: threadCount }, runWorker));
  return [...results].sort(([left], [right]) => left - right).map(([, result]) => result);
}

async function runOnWorker(worker: Worker, job: ExperimentJob): Promise<ExperimentResult> {
  return await new Promise((resolve, reject) => {
    const removeErrorListener = (): void => {
      worker.off('error', reject);
    };
    worker.once('message', (result: ExperimentResult) => {
      removeErrorListener();
      resolve(result);
    });
    worker.once('error', reject);
    worker.postMessage(job);
  });
}
