import { test } from 'node:test'
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { resultCodes } from '@sesamereel/state'
import { renderReferenceFiles } from '../src/reference-files.js'

const root = fileURLToPath(new URL('../../../../', import.meta.url))

// Guards against committed schemas and tables that differ from the code; "npm run reference" regenerates them.
test('the committed reference files are up to date', () => {
  const files = renderReferenceFiles()
  assert.equal(files.length, 6)
  for (const file of files) assert.equal(readFileSync(`${root}${file.path}`, 'utf8'), file.content, file.path)
})

// Guards against two result codes with the same number, and against codes missing from docs/errors.md.
test('each result code has one row in docs/errors.md', () => {
  const page = readFileSync(`${root}docs/errors.md`, 'utf8')
  const numbers = [...page.matchAll(/^\| (\d+) \| (\w+) \|/gm)].map(match => `${match[1]} ${match[2]}`)
  assert.deepEqual(numbers, Object.values(resultCodes).map(row => `${row.code} ${row.name}`))
  assert.equal(new Set(Object.values(resultCodes).map(row => row.code)).size, numbers.length)
})
