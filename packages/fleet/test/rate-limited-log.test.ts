import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { RateLimitedLog, LineSink } from '../src/index.js'

class MemorySink extends LineSink {
  readonly lines: string[] = []

  override write (line: string): boolean {
    this.lines.push(line)
    return true
  }
}

describe('RateLimitedLog and StdoutSink', () => {
  it('limits the lines per second of each category and counts the omitted ones', () => {
    const sink = new MemorySink()
    let now = 5_000
    const log = new RateLimitedLog({ instance: 'i' }, sink, () => now)
    for (let index = 0; index < 5_000; index++) log.log('order', 'task-start', { index })
    log.log('belief', 'dispatcher-begins', { domain: 'a' })
    assert.ok(sink.lines.length < 200)
    assert.ok(sink.lines.some(line => line.includes('dispatcher-begins')))
    now = 6_100
    log.log('belief', 'later', {})
    const summary = JSON.parse(sink.lines.at(-2)!) as { readonly event: string, readonly order: number }
    assert.equal(summary.event, 'lines-left-out')
    assert.equal(summary.order + sink.lines.filter(line => line.includes('task-start')).length, 5_000)
  })

  it('drops lines instead of blocking when nobody reads the output', { timeout: 30_000 }, async () => {
    const child = spawn(process.execPath, [fileURLToPath(new URL('flood-program.js', import.meta.url))], { stdio: ['ignore', 'pipe', 'pipe'] })
    // The pipe is not read, so it fills up while the program writes.
    child.stdout.pause()
    let report = ''
    child.stderr.setEncoding('utf8').on('data', (text: string) => { report += text })
    await new Promise(resolve => { child.stderr.once('end', resolve) })
    child.kill('SIGKILL')
    const { tookMs, dropped } = JSON.parse(report) as { readonly tookMs: number, readonly dropped: number }
    assert.ok(tookMs < 10_000, `the loop took ${tookMs} ms`)
    assert.ok(dropped > 0)
  })
})
