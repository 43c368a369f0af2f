import { Worker } from 'node:worker_threads';

import type { ExperimentJob } from './experimentJob.js';
import type { ExperimentFigures } from './runExperiment.js';

/**
 * Runs jobs on several threads; the figures come in the order of the jobs and do not depend on the
 * number of threads.
 *
 * @example
 * const figures = await runJobs(jobs, 4);
 */
export async function runJobs(
  jobs: readonly ExperimentJob[],
  threads: number,
): Promise<readonly ExperimentFigures[]> {
  const figures = new Map<number, ExperimentFigures>();
  const waiting = [...jobs.entries()];
  const runThread = async (): Promise<void> => {
    const worker = new Worker(new URL('./experimentWorker.js', import.meta.url));
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      const [index, job] = next;
      figures.set(index, await runOn(worker, job));
    }
    await worker.terminate();
  };
  await Promise.all(Array.from({ length: threads }, runThread));
  return [...figures].sort(([left], [right]) => left - right).map(([, each]) => each);
}

async function runOn(worker: Worker, job: ExperimentJob): Promise<ExperimentFigures> {
  return await new Promise((resolve, reject) => {
    const finish = (): void => {
      worker.off('error', reject);
    };
    worker.once('message', (figures: ExperimentFigures) => {
      finish();
      resolve(figures);
    });
    worker.once('error', reject);
    worker.postMessage(job);
  });
}
