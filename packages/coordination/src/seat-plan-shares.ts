import { type Configuration, countSeats, emptyConfiguration, findLimit, findSeatIndex, isWithin, type ResourceVector, type SeatId, splitLimit, type Topology, zeroResources } from '@sesamereel/state'
import { type Reservation, ResourceLedger } from './resource-ledger.js'
import { type ResourceName } from './loans.js'
import { splitPlanLimits } from './split-plan-limits.js'

const planResourcePrefix = 'plan:'

/** Term of a loan of plan units in milliseconds; longer than any attempt can last. */
const planLoanTermMs = 14_000

/** Time in milliseconds that a borrower subtracts from the term, because clocks run at different rates. */
const planLoanMarginMs = 200

/** @returns the resource name of a customer's plan in the ledger */
export function formatPlanResource (customer: string): ResourceName {
  return planResourcePrefix + customer
}

/** @returns the customer whose plan a resource name denotes, or undefined for another kind of resource */
export function parsePlanResource (resource: ResourceName): string | undefined {
  return resource.startsWith(planResourcePrefix) ? resource.slice(planResourcePrefix.length) : undefined
}

/** The shares that this seat owns in the plans of all customers. */
export class SeatPlanShares {
  readonly ledger = new ResourceLedger({ termMs: planLoanTermMs, clockDriftMarginMs: planLoanMarginMs, requiresEndWithinTerm: true })
  private configuration: Configuration = emptyConfiguration
  private readonly seatCount: number

  constructor (private readonly topology: Topology, private readonly seat: SeatId) {
    this.seatCount = countSeats(topology)
    if (findSeatIndex(topology, seat) === undefined) {
      throw new Error(`seat ${seat.seat} of domain "${seat.domain}" is not in the topology`)
    }
  }

  /** Sets the own share of every customer's plan. A customer without a plan has no share. */
  applyConfiguration (configuration: Configuration): void {
    for (const customer of Object.keys(this.configuration.plans)) {
      if (findLimit(configuration, customer) === undefined) this.ledger.removeResource(formatPlanResource(customer))
    }
    this.configuration = configuration
    for (const [customer, share] of splitPlanLimits(configuration, this.topology, this.seat)) {
      this.ledger.setOwnShare(formatPlanResource(customer), share)
    }
  }

  get version (): number {
    return this.configuration.version
  }

  findLimit (customer: string): ResourceVector | undefined {
    return findLimit(this.configuration, customer)
  }

  /**
   * @returns the share of a customer's limit that a seat owns; zero when the customer has no
   *   limit or the topology has no such seat
   */
  computeShare (customer: string, seat: SeatId): ResourceVector {
    const limit = this.findLimit(customer)
    const index = findSeatIndex(this.topology, seat)
    return limit === undefined || index === undefined ? zeroResources : splitLimit(limit, this.seatCount, index, customer)
  }

  /** @returns true when the own share covers the amount, whether or not it is free */
  isWithinOwnShare (customer: string, amount: ResourceVector): boolean {
    return isWithin(amount, this.computeShare(customer, this.seat))
  }

  reserve (customer: string, amount: ResourceVector, latestEnd: number, now: number, ownUsable: boolean): Reservation | undefined {
    return this.ledger.reserve(formatPlanResource(customer), amount, latestEnd, now, ownUsable)
  }

  computeAvailable (customer: string, latestEnd: number, now: number, ownUsable: boolean): ResourceVector {
    return this.ledger.computeAvailable(formatPlanResource(customer), latestEnd, now, ownUsable)
  }
}
