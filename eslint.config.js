import { fileURLToPath } from 'node:url';

import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';

/** Folders from the lowest to the highest layer; a file imports only from its own or a lower one. */
const layers = [
  ['src/gen', 'src/base'],
  ['src/ports'],
  [
    'src/storeera',
    'src/routing',
    'src/scheduling',
    'src/limits',
    'src/streams',
    'src/idempotency',
    'src/membership',
    'src/configuration',
    'src/orders',
    'src/quarantine',
    'src/enginememory',
    'src/continuation',
    'src/gateway',
    'src/targetspeeds',
    'src/teamrates',
  ],
  ['src/adapters'],
  ['src/daemon', 'src/cli'],
  // Implements the platform's protocols; only this folder uses their names.
  ['platform'],
];

const zones = layers.flatMap((lower, index) =>
  lower.flatMap((target) =>
    layers
      .slice(index + 1)
      .flat()
      .map((from) => ({
        target: `./${target}`,
        from: `./${from}`,
        message: 'import only from the same or a lower layer',
      })),
  ),
);

export default [
  {
    ignores: ['dist/**', 'target/**', 'journal/**', 'src/gen/**', 'node_modules/**', 'coverage/**'],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.node.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: fileURLToPath(new URL('.', import.meta.url)),
      },
    },
    rules: {
      'import-x/no-restricted-paths': ['error', { zones }],
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      // The code style prefers sequential code with `for of` loops and early exits.
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      'no-constant-condition': ['error', { checkLoops: false }],
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      '@typescript-eslint/no-floating-promises': 'error',
    },
  },
  {
    // The binaries read their settings synchronously at start and exit explicitly.
    files: [
      'src/base/version.ts',
      'src/daemon/exit.ts',
      'src/daemon/main.ts',
      'src/daemon/settings/read.ts',
      'platform/main.ts',
      'src/cli/**/*.ts',
    ],
    rules: { 'n/hashbang': 'off', 'n/no-sync': 'off', 'n/no-process-exit': 'off' },
  },
  {
    files: ['test/**/*.ts', 'measure/**/*.ts', '*.config.ts'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'no-console': 'off',
      'n/no-process-exit': 'off',
      'n/no-sync': 'off',
      // fetch and web streams are stable enough on Node 20 for clients in tests.
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
];
