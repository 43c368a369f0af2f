import eslint from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/**
 * Packages of the repository that each package may import; docs/DEVELOPMENT.md shows the same
 * table.
 */
const allowedImports = {
  core: [],
  rules: ['core'],
  protocol: [],
  platform: ['core'],
  coordination: ['core', 'platform'],
  scheduling: ['core'],
  gateway: ['core', 'platform', 'scheduling'],
  instance: ['core', 'rules', 'protocol', 'platform', 'coordination', 'scheduling'],
  control: ['core', 'rules', 'protocol', 'platform', 'coordination'],
  'stand-ins': ['core', 'rules', 'platform', 'coordination', 'scheduling'],
};

const packageNames = Object.keys(allowedImports);

const boundaryRules = packageNames.map(name => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        paths: packageNames
          .filter(other => !allowedImports[name].includes(other))
          .map(other => ({
            name: `@zincring/${other}`,
            message: `The package ${name} may not import ${other}; see docs/DEVELOPMENT.md.`,
          })),
        patterns: [
          { group: ['@zincring/*/*'], message: 'Import the package by its name only.' },
          ...(name === 'core'
            ? []
            : [
                {
                  group: ['ts-results', 'js-csp'],
                  message: 'Import these through @zincring/core.',
                },
              ]),
        ],
      },
    ],
  },
}));

/** Restricts the imports of the adapter of the users' platform, which no package imports. */
const adapterBoundary = {
  files: ['platform/src/**/*.ts'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        paths: ['control', 'instance', 'protocol', 'rules', 'scheduling', 'stand-ins'].map(
          name => ({
            name: `@zincring/${name}`,
            message:
              'The adapter only translates calls to the platform; decisions belong in the packages.',
          }),
        ),
        patterns: [{ group: ['@zincring/*/*'], message: 'Import the package by its name only.' }],
      },
    ],
  },
};

/** Forbids starting processes and threads, except in the private package stand-ins and in tests. */
const noProcesses = {
  files: packageNames
    .filter(name => name !== 'stand-ins')
    .map(name => `packages/${name}/src/**/*.ts`)
    .concat('platform/src/**/*.ts'),
  rules: {
    'no-restricted-syntax': [
      'error',
      {
        selector:
          'ImportDeclaration[source.value=/^(node:)?(child_process|cluster|worker_threads)$/]',
        message: 'A zincring process must not start processes or threads.',
      },
    ],
  },
};

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'build/**',
      'coverage/**',
      'target/**',
      'packages/protocol/src/generated/**',
    ],
  },
  eslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts', 'vitest.config.ts'],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/no-import-type-side-effects': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      curly: 'error',
      eqeqeq: 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: { jsdoc },
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'],
          publicOnly: true,
          require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
        },
      ],
    },
  },
  {
    files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
    rules: { 'max-lines-per-function': 'off', '@typescript-eslint/no-non-null-assertion': 'off' },
  },
  ...boundaryRules,
  adapterBoundary,
  noProcesses,
);
