import { writeSync, closeSync } from 'node:fs'
import { StdoutSink } from '../src/index.js'

/** Number of lines written; far more than the pipe and the buffer of the sink can hold. */
const lineCount = 20_000

/** Writes all lines to standard output in batches, then reports the duration and the dropped lines on standard error. */
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
