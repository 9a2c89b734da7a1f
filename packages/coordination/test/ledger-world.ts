import { addResources, createTaskVector, isWithin, multiplyResources, type ResourceVector, splitLimit, zeroResources } from '@sesamereel/state'
import { ResourceLedger, type LoanGrant, type LoanRequest, type Reservation } from '../src/index.js'

/** Faults of the algorithm that a test can switch on, to show that the property notices them. */
export interface WorldOptions {
  readonly marginMs: number
  /** Counts the term from the arrival of the grant instead of the sending of the request. */
  readonly countFromArrival: boolean
  /** Lets a new holder of a seat use its share at once. */
  readonly skipQuarantine: boolean
}

export type Command = readonly [action: 'advance' | 'jump' | 'start' | 'finish' | 'borrow' | 'deliver' | 'drop' | 'renew' | 'return' | 'pause' | 'crash' | 'limit', seat: number, a: number, b: number]

interface Seat {
  readonly name: string
  readonly rate: number
  ledger: ResourceLedger
  limit: number
  usableFrom: number
  paused: boolean
  incarnation: number
}

interface Work { readonly seat: Seat, readonly incarnation: number, readonly reservation: Reservation, readonly endsAt: number, finished: boolean }

type Message =
  | { readonly kind: 'borrow', readonly from: Seat, readonly to: Seat, readonly requests: readonly LoanRequest[], readonly sentAt: number, readonly incarnation: number }
  | { readonly kind: 'grant', readonly from: Seat, readonly to: Seat, readonly requests: readonly LoanRequest[], readonly sentAt: number, readonly incarnation: number, readonly grants: readonly LoanGrant[] }
  | { readonly kind: 'return', readonly from: Seat, readonly to: Seat, readonly loanIds: readonly string[] }

const termMs = 14_000
const quarantineMs = 18_000
const unit: ResourceVector = { processors: 500, memoryMb: 100, accelerators: 1, parallel: 1 }
const resource = 'plan:kalibra'

/** Several ledgers, an unreliable channel, and the work that really runs. Time is true time. */
export class LedgerWorld {
  private now = 0
  private nextLoan = 0
  /** Seat that received the newest loan; most starts and renewals go there. */
  private borrower: Seat | undefined
  private readonly seats: readonly Seat[]
  private messages: Message[] = []
  private work: Work[] = []
  private loanEnds: Array<{ readonly lender: Seat, readonly end: number }> = []
  private pastLimits: Array<{ readonly limit: number, readonly until: number }> = []
  /** Starts that used a loan in part, to show that the runs exercise loans. */
  startsOnLoans = 0

  constructor (private readonly options: WorldOptions, rates: readonly number[], limit: number) {
    this.seats = rates.map((rate, index) => ({ name: `gent.${index}`, rate, ledger: this.createLedger(), limit: -1, usableFrom: 0, paused: false, incarnation: 0 }))
    for (const seat of this.seats) this.applyLimit(seat, limit)
  }

  run ([action, seatIndex, a, b]: Command): void {
    const prefersBorrower = (action === 'start' || action === 'renew' || action === 'return') && a >= 20
    const seat = (prefersBorrower ? this.borrower : undefined) ?? this.seats[seatIndex % this.seats.length]!
    if (action === 'advance') this.now += a * a
    else if (action === 'jump') this.jump()
    else if (action === 'pause') seat.paused = !seat.paused
    else if (action === 'crash') this.restart(seat)
    else if (action === 'finish') this.finish(a)
    else if (action === 'deliver') this.deliver(a, b)
    else if (action === 'drop') this.messages.splice(a % Math.max(1, this.messages.length), 1)
    else if (!seat.paused) this.act(action, seat, a, b)
    for (const work of this.work) if (work.endsAt <= this.now && !work.seat.paused) this.release(work)
    this.work = this.work.filter((work) => !work.finished)
  }

  /** Checks the work that really runs against the largest limit that can still be in force. */
  check (): void {
    let use = zeroResources
    for (const work of this.work) if (work.endsAt > this.now) use = addResources(use, work.reservation.amount)
    const limits = [...this.seats.map((seat) => seat.limit), ...this.pastLimits.filter((past) => past.until > this.now).map((past) => past.limit)]
    const limit = createLimit(Math.max(...limits))
    if (!isWithin(use, limit)) throw new Error(`in use ${JSON.stringify(use)} above ${JSON.stringify(limit)} at ${this.now} ms`)
  }

  private act (action: 'start' | 'borrow' | 'renew' | 'return' | 'limit', seat: Seat, a: number, b: number): void {
    const clock = this.now * seat.rate
    if (action === 'start') for (let i = 0; i <= a % 4; i++) this.start(seat, a, b)
    else if (action === 'limit') this.applyLimit(seat, 2 + a % 11)
    else if (action === 'borrow') {
      const request = { loanId: `${seat.name}/${this.nextLoan++}`, resource, amount: createLimit(1 + b % 4) }
      this.post(seat, this.seats[a % this.seats.length]!, [request], clock)
    } else if (action === 'renew') {
      for (const [lender, requests] of seat.ledger.createDueRenewals(clock)) this.post(seat, this.findSeat(lender), requests, clock)
    } else {
      for (const [lender, loanIds] of seat.ledger.closeIdleLoans(clock, b * 20)) this.messages.push({ kind: 'return', from: seat, to: this.findSeat(lender), loanIds })
    }
  }

  /** Starts work with the latest end that the ledger allows, the hardest case for the property. */
  private start (seat: Seat, a: number, b: number): void {
    const clock = this.now * seat.rate
    // One start in three meets a seat that is not confirmed and has only its loans.
    const usable = b % 3 > 0 && (this.options.skipQuarantine || this.now >= seat.usableFrom)
    const amount = createTaskVector({ processors: 100 + a % 3 * 450, memoryMb: 50 * (b % 5), accelerators: a % 2 })
    const own = usable ? seat.ledger.computeAvailable(resource, Infinity, clock, true) : zeroResources
    for (const length of b % 2 === 0 ? [11_000, 1_000] : [13_999, 13_790, 12_500, 11_000, 5_000, 500]) {
      // Work on the own share alone is bounded by the longest attempt.
      if (length > 11_000 && isWithin(amount, own)) continue
      const reservation = seat.ledger.reserve(resource, amount, clock + length, clock, usable)
      if (reservation === undefined) continue
      if (!isWithin(amount, own)) this.startsOnLoans++
      this.work.push({ seat, incarnation: seat.incarnation, reservation, endsAt: this.now + length / seat.rate, finished: false })
      return
    }
  }

  /** Advances to the moment when a lender has its units back, and lets it use them. */
  private jump (): void {
    const next = this.loanEnds.filter(({ end }) => end > this.now).sort((one, other) => one.end - other.end)[0]
    if (next === undefined) return
    this.now = next.end + 0.001
    if (!next.lender.paused) for (let i = 0; i < 4; i++) this.start(next.lender, i, 1 + i)
  }

  private finish (index: number): void {
    const work = this.work[index % Math.max(1, this.work.length)]
    if (work !== undefined && !work.seat.paused) this.release(work)
  }

  private release (work: Work): void {
    work.finished = true
    if (work.incarnation === work.seat.incarnation) work.seat.ledger.release(work.reservation)
  }

  private post (from: Seat, to: Seat, requests: readonly LoanRequest[], sentAt: number): void {
    if (from !== to) this.messages.push({ kind: 'borrow', from, to, requests, sentAt, incarnation: from.incarnation })
  }

  private deliver (index: number, b: number): void {
    // Mostly the newest message, so that loans come about; the others arrive late.
    const at = index < 45 ? this.messages.length - 1 : index % Math.max(1, this.messages.length)
    const message = this.messages[at]
    if (message === undefined || message.to.paused) return
    if (b % 3 > 0) this.messages.splice(at, 1)
    const { from, to } = message
    const clock = this.now * to.rate
    if (message.kind === 'return') to.ledger.applyReturn(from.name, message.loanIds, clock)
    else if (message.kind === 'borrow') {
      const grants = to.ledger.grant(from.name, message.requests, clock, this.options.skipQuarantine || this.now >= to.usableFrom, (_, available) => b % 2 === 0 ? available : multiplyResources(unit, Math.floor(available.parallel / 2)))
      this.loanEnds = [...this.loanEnds.filter(({ end }) => end > this.now), { lender: to, end: this.now + termMs / to.rate }]
      this.messages.push({ kind: 'grant', from: to, to: from, requests: message.requests, sentAt: message.sentAt, incarnation: message.incarnation, grants })
    } else if (message.incarnation === to.incarnation) {
      this.borrower = to
      const sentAt = this.options.countFromArrival ? clock : message.sentAt
      message.requests.forEach((request, i) => { to.ledger.applyGrant(from.name, request, message.grants[i]!, sentAt) })
    }
    to.ledger.removeExpired(clock)
  }

  private restart (seat: Seat): void {
    seat.ledger = this.createLedger()
    seat.incarnation++
    seat.paused = false
    seat.usableFrom = this.now + quarantineMs
    this.applyLimit(seat, seat.limit)
  }

  private applyLimit (seat: Seat, limit: number): void {
    // Loans of the earlier share end within their term.
    this.pastLimits = [...this.pastLimits.filter((past) => past.until > this.now), { limit: seat.limit, until: this.now + termMs * 1.01 }]
    seat.limit = limit
    seat.ledger.setOwnShare(resource, splitLimit(createLimit(limit), this.seats.length, this.seats.indexOf(seat), resource))
  }

  private createLedger (): ResourceLedger {
    return new ResourceLedger({ termMs, clockDriftMarginMs: this.options.marginMs, requiresEndWithinTerm: true })
  }

  private findSeat (name: string): Seat {
    return this.seats.find((seat) => seat.name === name)!
  }
}

function createLimit (units: number): ResourceVector {
  return multiplyResources(unit, units)
}
