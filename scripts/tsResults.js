// ts-results as one ES module: its CommonJS files load each other in a way that a bundler cannot follow.
import * as results from '../node_modules/ts-results/esm/index.js';

export default results;
