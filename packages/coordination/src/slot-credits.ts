import { hashText, type ResourceVector, splitAmount, zeroResources } from '@sesamereel/state'
import { ResourceLedger, type Reservation } from './resource-ledger.js'
import { type ResourceName } from './loans.js'
import { type TargetState } from './target-state.js'

const slotPrefix = 'slot:'

/** Term of a loan of slot credits in milliseconds; short, since credits lent to a crashed borrower stay lent until its end. */
const creditLoanTermMs = 2_000

/** Time in milliseconds before the end of the term at which a borrower stops using credits, for clocks that run at different rates. */
const creditLoanMarginMs = 200

const oneSlot: ResourceVector = { ...zeroResources, parallel: 1 }

/** @returns the name of a target's slots as a resource of the ledger */
export function formatSlotResource (targetId: string): ResourceName {
  return slotPrefix + targetId
}

/** @returns the id of the target whose slots the resource stands for, undefined for any other resource */
export function parseSlotResource (resource: ResourceName): string | undefined {
  return resource.startsWith(slotPrefix) ? resource.slice(slotPrefix.length) : undefined
}

/**
 * Slot credits of this instance: the slots of each target are split between the live instances of
 * the domain, and each starts tasks only with its own or borrowed credits. Credits are not needed
 * for safety, they only reduce the number of starts that targets refuse; therefore the split can be
 * based on the local view of the live instances.
 */
export class SlotCredits {
  readonly ledger = new ResourceLedger({ termMs: creditLoanTermMs, clockDriftMarginMs: creditLoanMarginMs, requiresEndWithinTerm: false })
  private instances: readonly string[]

  /** @param self - seat of this instance as `DOMAIN.SEAT` */
  constructor (private readonly self: string) {
    this.instances = [self]
  }

  /** Sets the live instances of this domain, without this one. */
  applyPeers (peers: readonly string[], targets: readonly TargetState[], now: number): void {
    this.instances = [this.self, ...peers].sort()
    this.applyTargets(targets, now)
  }

  applyTargets (targets: readonly TargetState[], now: number): void {
    for (const target of targets) {
      this.ledger.setOwnShare(formatSlotResource(target.id), { ...zeroResources, parallel: this.computeOwnedSlots(target, this.self) })
      this.updateFreeCredits(target, now)
    }
  }

  /** @returns the number of slots of the target that an instance owns, according to the local view */
  computeOwnedSlots (target: TargetState, instance: string): number {
    const index = this.instances.indexOf(instance)
    if (index < 0) return 0
    return splitAmount(target.description.slots, this.instances.length, index, hashText(target.id))
  }

  removeTarget (targetId: string): void {
    this.ledger.removeResource(formatSlotResource(targetId))
  }

  /** Updates `freeCredits` of a target from the ledger. */
  updateFreeCredits (target: TargetState, now: number): void {
    target.freeCredits = this.ledger.computeAvailable(formatSlotResource(target.id), now, now, true).parallel
  }

  /** @returns the reservation of one slot, or undefined when no credit is free */
  reserve (target: TargetState, now: number): Reservation | undefined {
    const reservation = this.ledger.reserve(formatSlotResource(target.id), oneSlot, now, now, true)
    if (reservation === undefined) target.freeCredits = 0
    else target.freeCredits--
    return reservation
  }

  release (reservation: Reservation, target: TargetState, now: number): void {
    this.ledger.release(reservation)
    this.updateFreeCredits(target, now)
  }
}
