import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { existsSync } from 'node:fs'
import { test } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { callHttpOrThrow, callHttp } from '../src/http-call.js'
import { ProcessLauncher } from '../src/launcher.js'

function isAlive (pid: number): boolean {
  try {
    process.kill(pid, 0)
    return true
  } catch {
    return false
  }
}

// Guards against processes and folders that a run leaves behind, also when a process is paused.
test('closing the launcher ends running and paused processes and removes the folder', async () => {
  const launcher = new ProcessLauncher()
  const running = await launcher.startStandIn('t1', 'target', { id: 't1' })
  const paused = await launcher.startStandIn('t2', 'target', { id: 't2' })
  launcher.sendSignal('t2', 'SIGSTOP')
  const status = await callHttpOrThrow(running.addresses['api']!, '/status') as { id: string }
  assert.equal(status.id, 't1')
  await launcher.close()
  assert.ok(!isAlive(running.child.pid!) && !isAlive(paused.child.pid!))
  assert.ok(!existsSync(launcher.folder))
})

// Guards against stand-ins and folders that outlive a run that failed.
test('processes end when the program that launched them fails', async () => {
  const script = `import { ProcessLauncher } from ${JSON.stringify(new URL('../src/launcher.js', import.meta.url).href)}
    const launcher = new ProcessLauncher()
    const launched = await launcher.startStandIn('t1', 'target', { id: 't1' })
    console.log(launched.child.pid + ' ' + launcher.folder)
    throw new Error('failed on purpose')`
  const child = spawn(process.execPath, ['--input-type=module', '-e', script], { stdio: ['ignore', 'pipe', 'ignore'] })
  let output = ''
  child.stdout.on('data', chunk => { output += String(chunk) })
  const [code] = await once(child, 'close') as [number]
  assert.notEqual(code, 0)
  const [pidText, folder] = output.trim().split(' ') as [string, string]
  const pid = Number(pidText)
  assert.ok(pid > 0)
  for (let i = 0; i < 50 && isAlive(pid); i++) await delay(50)
  assert.ok(!isAlive(pid))
  assert.ok(!existsSync(folder))
})

// Guards against callers that take an unknown outcome for "nothing was sent": the checker of I4 depends on it.
test('a call tells a refused connection from a broken one and from a late reply', async () => {
  const launcher = new ProcessLauncher()
  try {
    const platform = await launcher.startStandIn('p', 'platform', {})
    const read = async (): Promise<string> => (await callHttp(platform.addresses['api']!, '/instances', { timeoutMs: 300 })).kind
    assert.equal(await read(), 'answered')
    await callHttpOrThrow(platform.addresses['admin']!, '/faults', { method: 'PUT', body: { down: 'refuse' } })
    assert.equal(await read(), 'reset')
    await callHttpOrThrow(platform.addresses['admin']!, '/faults', { method: 'PUT', body: { down: 'hang' } })
    assert.equal(await read(), 'timeout')
    launcher.sendSignal('p', 'SIGKILL')
    await launcher.waitForEnd('p', 5_000)
    assert.equal(await read(), 'refused')
  } finally {
    await launcher.close()
  }
})
