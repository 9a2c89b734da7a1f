import { addResources, createTaskVector, isWithin, multiplyResources, type ResourceVector, splitLimit, zeroResources } from '@sesamereel/state'
import { type LoanGrant, type LoanRequest, type Reservation, ResourceLedger } from '../src/index.js'

/** Faults of the algorithm that a test can switch on, to show that the check detects them. */
export interface SimulationOptions {
  readonly clockDriftMarginMs: number
  /** Counts the term from the arrival of the grant instead of from the sending of the request. */
  readonly countFromArrival: boolean
  /** Lets a new holder of a seat use its share at once. */
  readonly skipQuarantine: boolean
}

/** One action of a random run. `a` and `b` are random numbers from which the action derives its parameters. */
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

/**
 * Simulates several ledgers, an unreliable channel and the work that runs. Its time is the true
 * time in milliseconds; the clock of a seat is the true time multiplied by its rate.
 */
export class LedgerSimulation {
  private now = 0
  private nextLoan = 0
  /** Seat that received the latest loan; most starts, renewals and returns go there. */
  private latestBorrower: Seat | undefined
  private readonly seats: readonly Seat[]
  private messages: Message[] = []
  private work: Work[] = []
  private loanEnds: Array<{ readonly lender: Seat, readonly end: number }> = []
  private pastLimits: Array<{ readonly limit: number, readonly until: number }> = []
  /** Number of starts that used a loan at least in part, to show that the runs exercise loans. */
  startsOnLoans = 0

  constructor (private readonly options: SimulationOptions, rates: readonly number[], limit: number) {
    this.seats = rates.map((rate, index) => ({ name: `gent.${index}`, rate, ledger: this.createLedger(), limit: -1, usableFrom: 0, paused: false, incarnation: 0 }))
    for (const seat of this.seats) this.applyLimit(seat, limit)
  }

  run ([action, seatIndex, a, b]: Command): void {
    const prefersBorrower = (action === 'start' || action === 'renew' || action === 'return') && a >= 20
    const seat = (prefersBorrower ? this.latestBorrower : undefined) ?? this.seats[seatIndex % this.seats.length]!
    if (action === 'advance') this.now += a * a
    else if (action === 'jump') this.jumpToLoanEnd()
    else if (action === 'pause') seat.paused = !seat.paused
    else if (action === 'crash') this.restart(seat)
    else if (action === 'finish') this.finishWork(a)
    else if (action === 'deliver') this.deliver(a, b)
    else if (action === 'drop') this.messages.splice(a % Math.max(1, this.messages.length), 1)
    else if (!seat.paused) this.runSeatAction(action, seat, a, b)
    for (const work of this.work) if (work.endsAt <= this.now && !work.seat.paused) this.releaseWork(work)
    this.work = this.work.filter((work) => !work.finished)
  }

  /** Checks that the work that runs stays within the largest limit that can still be in force. */
  check (): void {
    let use = zeroResources
    for (const work of this.work) if (work.endsAt > this.now) use = addResources(use, work.reservation.amount)
    const limits = [...this.seats.map((seat) => seat.limit), ...this.pastLimits.filter((past) => past.until > this.now).map((past) => past.limit)]
    const limit = createLimit(Math.max(...limits))
    if (!isWithin(use, limit)) throw new Error(`units in use ${JSON.stringify(use)} exceed the limit ${JSON.stringify(limit)} at ${this.now} ms`)
  }

  private runSeatAction (action: 'start' | 'borrow' | 'renew' | 'return' | 'limit', seat: Seat, a: number, b: number): void {
    const clock = this.now * seat.rate
    if (action === 'start') for (let i = 0; i <= a % 4; i++) this.startWork(seat, a, b)
    else if (action === 'limit') this.applyLimit(seat, 2 + a % 11)
    else if (action === 'borrow') {
      const request = { loanId: `${seat.name}/${this.nextLoan++}`, resource, amount: createLimit(1 + b % 4) }
      this.postRequests(seat, this.seats[a % this.seats.length]!, [request], clock)
    } else if (action === 'renew') {
      for (const [lender, requests] of seat.ledger.createDueRenewals(clock)) this.postRequests(seat, this.findSeat(lender), requests, clock)
    } else {
      for (const [lender, loanIds] of seat.ledger.closeIdleLoans(clock, b * 20)) this.messages.push({ kind: 'return', from: seat, to: this.findSeat(lender), loanIds })
    }
  }

  /** Starts work with the latest end that the ledger allows, which is the hardest case for the check. */
  private startWork (seat: Seat, a: number, b: number): void {
    const clock = this.now * seat.rate
    // In one start out of three, the seat is not confirmed and has only its loans.
    const usable = b % 3 > 0 && (this.options.skipQuarantine || this.now >= seat.usableFrom)
    const amount = createTaskVector({ processors: 100 + a % 3 * 450, memoryMb: 50 * (b % 5), accelerators: a % 2 })
    const own = usable ? seat.ledger.computeAvailable(resource, Infinity, clock, true) : zeroResources
    for (const length of b % 2 === 0 ? [11_000, 1_000] : [13_999, 13_790, 12_500, 11_000, 5_000, 500]) {
      // Work that uses only the own share lasts no longer than the longest attempt.
      if (length > 11_000 && isWithin(amount, own)) continue
      const reservation = seat.ledger.reserve(resource, amount, clock + length, clock, usable)
      if (reservation === undefined) continue
      if (!isWithin(amount, own)) this.startsOnLoans++
      this.work.push({ seat, incarnation: seat.incarnation, reservation, endsAt: this.now + length / seat.rate, finished: false })
      return
    }
  }

  /** Advances to the end of the next loan, and lets the lender use the units that it has back. */
  private jumpToLoanEnd (): void {
    const next = this.loanEnds.filter(({ end }) => end > this.now).sort((one, other) => one.end - other.end)[0]
    if (next === undefined) return
    this.now = next.end + 0.001
    if (!next.lender.paused) for (let i = 0; i < 4; i++) this.startWork(next.lender, i, 1 + i)
  }

  private finishWork (index: number): void {
    const work = this.work[index % Math.max(1, this.work.length)]
    if (work !== undefined && !work.seat.paused) this.releaseWork(work)
  }

  private releaseWork (work: Work): void {
    work.finished = true
    if (work.incarnation === work.seat.incarnation) work.seat.ledger.release(work.reservation)
  }

  private postRequests (from: Seat, to: Seat, requests: readonly LoanRequest[], sentAt: number): void {
    if (from !== to) this.messages.push({ kind: 'borrow', from, to, requests, sentAt, incarnation: from.incarnation })
  }

  private deliver (index: number, b: number): void {
    // Mostly delivers the newest message, so that loans come about; the others arrive late.
    const position = index < 45 ? this.messages.length - 1 : index % Math.max(1, this.messages.length)
    const message = this.messages[position]
    if (message === undefined || message.to.paused) return
    if (b % 3 > 0) this.messages.splice(position, 1)
    const { from, to } = message
    const clock = this.now * to.rate
    if (message.kind === 'return') to.ledger.applyReturn(from.name, message.loanIds, clock)
    else if (message.kind === 'borrow') {
      const grants = to.ledger.grant(from.name, message.requests, clock, this.options.skipQuarantine || this.now >= to.usableFrom, (_, available) => b % 2 === 0 ? available : multiplyResources(unit, Math.floor(available.parallel / 2)))
      this.loanEnds = [...this.loanEnds.filter(({ end }) => end > this.now), { lender: to, end: this.now + termMs / to.rate }]
      this.messages.push({ kind: 'grant', from: to, to: from, requests: message.requests, sentAt: message.sentAt, incarnation: message.incarnation, grants })
    } else if (message.incarnation === to.incarnation) {
      this.latestBorrower = to
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
    // Loans of the earlier share end within their term, so the earlier limit still applies until
    // then.
    this.pastLimits = [...this.pastLimits.filter((past) => past.until > this.now), { limit: seat.limit, until: this.now + termMs * 1.01 }]
    seat.limit = limit
    seat.ledger.setOwnShare(resource, splitLimit(createLimit(limit), this.seats.length, this.seats.indexOf(seat), resource))
  }

  private createLedger (): ResourceLedger {
    return new ResourceLedger({ termMs, clockDriftMarginMs: this.options.clockDriftMarginMs, requiresEndWithinTerm: true })
  }

  private findSeat (name: string): Seat {
    return this.seats.find((seat) => seat.name === name)!
  }
}

function createLimit (units: number): ResourceVector {
  return multiplyResources(unit, units)
}
