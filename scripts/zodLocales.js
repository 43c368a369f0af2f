// Replaces zod's index of error texts in all languages, as the instance uses only English.
export { default as en } from 'zod/v4/locales/en.js';
