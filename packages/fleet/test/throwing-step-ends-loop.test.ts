import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { flushMicrotasks, ManualClock } from '@sesamereel/coordination'
import { EventLog, MetadataStore, type RowsReply, type StoreRow, TableObserver, TableWatch, type WatchReply, type WriteReply } from '../src/index.js'
import { PollLoop } from '../src/poll-loop.js'

class RecordingLog extends EventLog {
  readonly events: string[] = []
  override log (category: string, event: string): void { this.events.push(event) }
}

/** A store with one row that changes every 100 ms; a call throws while `isThrowing` is set. */
class ThrowingStore extends MetadataStore {
  isThrowing = false
  readonly #clock: ManualClock

  constructor (clock: ManualClock) {
    super()
    this.#clock = clock
  }

  override async list (): Promise<RowsReply> {
    if (this.isThrowing) throw new URIError('URI malformed')
    return { kind: 'rows', rows: [this.#buildRow()], revision: this.#readRevision() }
  }

  override async watch (): Promise<WatchReply> {
    if (this.isThrowing) throw new URIError('URI malformed')
    await new Promise<void>(resolve => { this.#clock.startTimer(100, resolve) })
    return { kind: 'changes', changes: [{ ...this.#buildRow(), deleted: false }], revision: this.#readRevision() }
  }

  override async read (): Promise<RowsReply> { return { kind: 'unavailable', message: 'not used' } }
  override async write (): Promise<WriteReply> { return { kind: 'conflict' } }

  #readRevision (): number { return 1 + Math.floor(this.#clock.now() / 100) }
  #buildRow (): StoreRow { return { key: 'a', value: String(this.#readRevision()), revision: this.#readRevision() } }
}

/** Takes notes of the rows, and throws while `isThrowing` is set. */
class ThrowingObserver extends TableObserver {
  isThrowing = false
  newest: string | undefined

  override onRows (rows: ReadonlyMap<string, StoreRow>): void {
    if (this.isThrowing) throw new TypeError('an entry is odd')
    this.newest = rows.get('a')?.value
  }
}

interface WatchFixture {
  readonly clock: ManualClock
  readonly store: ThrowingStore
  readonly observer: ThrowingObserver
  readonly log: RecordingLog
  readonly watch: TableWatch
}

function startWatch (): WatchFixture {
  const clock = new ManualClock()
  const store = new ThrowingStore(clock)
  const observer = new ThrowingObserver()
  const log = new RecordingLog()
  const watch = new TableWatch(store, 'targets', { relistIntervalMs: 5_000, batchingPauseMs: 0, random: () => 0.5 }, clock, log, observer)
  return { clock, store, observer, log, watch }
}

/** Guards against an odd entry that ends the watch of its table for good: no later change of any row was seen. */
describe('a watch of a table', () => {
  it('goes on after its observer has thrown, and passes the rows again', async () => {
    const { clock, observer, log, watch } = startWatch()
    watch.start()
    await clock.advance(250)
    observer.isThrowing = true
    await clock.advance(2_000)
    observer.isThrowing = false
    const errors = log.events.filter(event => event === 'unexpected-error').length
    await clock.advance(2_000)
    watch.close()
    assert.ok(Number(observer.newest) >= 40, `the newest row seen is ${observer.newest}`)
    assert.ok(errors >= 1 && errors <= 20, `${errors} lines`)
  })

  it('is not known to be current while its observer throws', async () => {
    const { clock, observer, watch } = startWatch()
    watch.start()
    await clock.advance(250)
    observer.isThrowing = true
    await clock.advance(2_000)
    const ageMs = watch.measureAge()
    watch.close()
    assert.ok(ageMs >= 1_900, `${ageMs} ms`)
  })

  it('goes on after the store client has thrown', async () => {
    const { clock, store, observer, watch } = startWatch()
    watch.start()
    await clock.advance(250)
    store.isThrowing = true
    await clock.advance(2_000)
    store.isThrowing = false
    await clock.advance(2_000)
    watch.close()
    assert.ok(Number(observer.newest) >= 40, `the newest row seen is ${observer.newest}`)
  })
})

/** Guards against one error that ends the polls of a target for good: its entry stays, and no view of it is ever seen again. */
describe('a poll loop', () => {
  it('goes on with pauses after polls have thrown, and reports a series of errors once', async () => {
    const clock = new ManualClock()
    const errors: unknown[] = []
    let polls = 0
    let isThrowing = true
    const poll = async (): Promise<boolean> => {
      polls++
      if (isThrowing) throw new TypeError('Invalid URL')
      await new Promise<void>(resolve => { clock.startTimer(50, resolve) })
      return true
    }
    const loop = new PollLoop(clock, () => 0, poll, (error: unknown) => { errors.push(error) })
    loop.run().catch(() => {})
    await clock.advance(4_000)
    const pollsWhileThrowing = polls
    isThrowing = false
    await clock.advance(1_000)
    loop.close()
    await flushMicrotasks()
    assert.ok(pollsWhileThrowing >= 8 && pollsWhileThrowing <= 20, `${pollsWhileThrowing} polls in 4 s`)
    assert.ok(polls - pollsWhileThrowing >= 10, `${polls - pollsWhileThrowing} polls afterwards`)
    assert.equal(errors.length, 1)
  })
})
