import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-explicit-any': 'error'
    }
  }
]
