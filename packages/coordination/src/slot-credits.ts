import { hashText, type ResourceVector, splitAmount, zeroResources } from '@sesamereel/state'
import { ResourceLedger, type Reservation } from './resource-ledger.js'
import { type ResourceName } from './loans.js'
import { type TargetState } from './target-state.js'

const slotPrefix = 'slot:'

/** Term of a loan of slot credits in milliseconds; short, since a crashed borrower holds them until then. */
const creditTermMs = 2_000

const creditMarginMs = 200

const oneSlot: ResourceVector = { ...zeroResources, parallel: 1 }

/** @returns the name of a target's slots in the ledger */
export function formatSlotResource (targetId: string): ResourceName {
  return slotPrefix + targetId
}

/** @returns the target whose slots a resource names, or undefined for another resource */
export function parseSlotResource (resource: ResourceName): string | undefined {
  return resource.startsWith(slotPrefix) ? resource.slice(slotPrefix.length) : undefined
}

/**
 * Slot credits of this instance. A credit does not affect safety, only the number of starts that
 * targets refuse, so the split follows the local view of the live instances.
 */
export class SlotCredits {
  readonly ledger = new ResourceLedger({ termMs: creditTermMs, clockDriftMarginMs: creditMarginMs, requiresEndWithinTerm: false })
  private instances: readonly string[]

  /**
   * @param self - own seat as `DOMAIN.SEAT`
   */
  constructor (private readonly self: string) {
    this.instances = [self]
  }

  /** Sets the live instances of the own domain, apart from this one. */
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

  /** @returns the part of the target's slots that an instance owns in the local view */
  computeOwnedSlots (target: TargetState, instance: string): number {
    const index = this.instances.indexOf(instance)
    if (index < 0) return 0
    return splitAmount(target.description.slots, this.instances.length, index, hashText(target.id))
  }

  removeTarget (targetId: string): void {
    this.ledger.removeResource(formatSlotResource(targetId))
  }

  /** Brings `freeCredits` of the target up to date. */
  updateFreeCredits (target: TargetState, now: number): void {
    target.freeCredits = this.ledger.computeAvailable(formatSlotResource(target.id), now, now, true).parallel
  }

  /** @returns the reservation of one slot, or undefined when no credit is free after all */
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
