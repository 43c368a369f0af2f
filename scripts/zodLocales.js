// Stands for the error texts of zod in all languages, of which the instance uses English only.
export { default as en } from 'zod/v4/locales/en.js';
