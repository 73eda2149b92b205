import perfectionist from 'eslint-plugin-perfectionist';
import tseslint from 'typescript-eslint';

const PRIVATE_MEMBER_MESSAGE = 'Use a #private member.';

export default tseslint.config(
  {ignores: ['**/dist/**', '**/node_modules/**', '.tap/**', 'target/**']},
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    plugins: {perfectionist},
    rules: {
      '@typescript-eslint/consistent-type-definitions': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines': [
        'error',
        {max: 400, skipBlankLines: false, skipComments: false},
      ],
      'max-lines-per-function': [
        'error',
        {max: 60, skipBlankLines: true, skipComments: true},
      ],
      'no-console': 'error',
      'no-restricted-syntax': [
        'error',
        {
          message: PRIVATE_MEMBER_MESSAGE,
          selector: "PropertyDefinition[accessibility='private']",
        },
        {
          message: PRIVATE_MEMBER_MESSAGE,
          selector: "MethodDefinition[accessibility='private']",
        },
        {
          message: PRIVATE_MEMBER_MESSAGE,
          selector: "TSParameterProperty[accessibility='private']",
        },
      ],
      'perfectionist/sort-imports': [
        'error',
        {
          groups: ['type', 'builtin', 'external', ['parent', 'sibling']],
          newlinesBetween: 'always',
        },
      ],
      'perfectionist/sort-named-exports': 'error',
      'perfectionist/sort-named-imports': 'error',
      'perfectionist/sort-objects': 'error',
    },
  },
  {
    files: ['**/__tests__/**'],
    rules: {'max-lines-per-function': 'off'},
  },
  {files: ['scripts/**'], rules: {'no-console': 'off'}},
  {
    files: ['**/*.ts'],
    ignores: ['**/__tests__/**'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {'@typescript-eslint/no-floating-promises': 'error'},
  },
);
