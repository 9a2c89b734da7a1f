import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { readdirSync } from 'node:fs'
import { test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'

const run = promisify(execFile)
const resolve = (path: string): string => fileURLToPath(new URL(path, import.meta.url))

/** Clusters at once; each has about 15 processes, and more of them disturb the bounds on time. */
const concurrency = 4

const runTimeoutMs = 200_000

const historySeeds = [1, 2, 3]

async function runProgram (program: string, args: readonly string[]): Promise<void> {
  const failure = await run(process.execPath, [resolve(`../src/${program}.js`), ...args], { timeout: runTimeoutMs }).then(() => undefined, (error: unknown) => error as { stdout?: string, message: string })
  assert.equal(failure, undefined, `${failure?.stdout ?? ''}\n${failure?.message ?? ''}`)
}

// Guards against every violation of an invariant under the scripted faults.
test('all scenarios pass', { concurrency, timeout: 1_200_000 }, async (t) => {
  const names = readdirSync(resolve('../../../../scenarios')).map(file => file.replace(/\.yaml$/, '')).sort()
  await Promise.all(names.map(name => t.test(name, async () => { await runProgram('scenarios', ['--only', name]) })))
})

// Guards against violations that only a mixture of random faults and concurrent clients shows.
test('fixed seeds of the history check have no violation', { concurrency, timeout: 600_000 }, async (t) => {
  await Promise.all(historySeeds.map(seed => t.test(`seed ${seed}`, async () => { await runProgram('history', ['--seed', String(seed), '--seconds', '30']) })))
})
