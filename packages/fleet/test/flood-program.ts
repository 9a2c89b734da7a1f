import { writeSync, closeSync } from 'node:fs'
import { StdoutSink } from '../src/index.js'

/** Lines of the flood; far more than a pipe and the queue of the sink hold. */
const lineCount = 20_000

/** Floods standard output in steps, and reports on standard error how long it took. */
async function flood (): Promise<void> {
  const sink = new StdoutSink()
  const startedAt = performance.now()
  let dropped = 0
  for (let index = 0; index < lineCount; index++) {
    if (!sink.write('x'.repeat(200))) dropped++
    if (index % 1_000 === 0) await new Promise(resolve => { setImmediate(resolve) })
  }
  writeSync(2, JSON.stringify({ tookMs: Math.round(performance.now() - startedAt), dropped }))
  closeSync(2)
}

await flood()
