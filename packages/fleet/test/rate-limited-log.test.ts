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

describe('the log', () => {
  it('keeps to a budget for each class and counts what it leaves out', () => {
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

  it('does not wait for a reader that does not read', { timeout: 30_000 }, async () => {
    const child = spawn(process.execPath, [fileURLToPath(new URL('flood-program.js', import.meta.url))], { stdio: ['ignore', 'pipe', 'pipe'] })
    // Nothing reads the output until the program has ended its loop.
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
