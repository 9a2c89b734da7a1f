import { readdirSync, readFileSync } from 'node:fs'
import { test } from 'node:test'
import assert from 'node:assert/strict'
import { EventLog } from '../src/event-log.js'

const sources = new URL('../../src/', import.meta.url)
const logsPage = new URL('../../../../docs/logs.md', import.meta.url)

// Guards against events that are missing from docs/logs.md, and against rows for events that no
// longer exist.
test('docs/logs.md lists exactly the events in the sources', () => {
  const text = readdirSync(sources).filter(name => name.endsWith('.ts')).map(name => readFileSync(new URL(name, sources), 'utf8')).join('\n')
  const written = new Set(['unexpected-error'])
  for (const line of text.split('\n').filter(each => /log\.log\(/.test(each))) {
    const [leadingArguments] = line.slice(line.indexOf('log.log(') + 'log.log('.length).split(', {')
    const names = [...leadingArguments!.matchAll(/['`]([a-z]+-[a-z$-]+(?:\{change\})?|started|starting|stopped)['`]/g)].map(match => match[1]!)
    assert.ok(names.length > 0, line)
    for (const name of names) {
      if (name.endsWith('{change}')) written.add('target-ejected').add('target-readmitted')
      else written.add(name)
    }
  }
  const listed = [...readFileSync(logsPage, 'utf8').matchAll(/^\| `([a-z-]+)` \|/gm)].map(match => match[1]!)
  assert.deepEqual([...listed].sort(), [...written].sort())
})

// Guards against values that break the line format, such as a caller's text with a line break.
test('a value cannot add a line or a field', () => {
  const lines: string[] = []
  new EventLog('info', { instance: 'd.0' }, line => { lines.push(line) }).log('info', 'list-edit', { edit: 'x level=error\nevent=forged', base: 1, version: undefined })
  assert.equal(lines.length, 1)
  assert.match(lines[0]!, /^time=\S+ level=info event=list-edit instance=d\.0 edit="x level=error\\nevent=forged" base=1$/)
})
