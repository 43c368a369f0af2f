// Re-exports the ES modules of ts-results: its CommonJS files load each other in a way that a bundler cannot follow.
import * as results from '../node_modules/ts-results/esm/index.js';

export default results;
