/** Number of keys in one block. */
const keysPerBlock = 1_024

/**
 * Time in milliseconds for which keys are issued from the same block. It bounds how far the age
 * of a key can differ from that of its block.
 */
const blockOpenTimeMs = 60_000

/** Time in milliseconds for which an issued key can be used. */
export const keyLifetimeMs = 3_600_000

interface KeyBlock {
  readonly customer: string
  readonly openedAt: number
  issuedCount: number
  lastIssuedAt: number
  /** One bit for each key, set when the key is admitted. */
  readonly admittedBits: Uint8Array
}

/** State of a sequence number for a customer. */
export type KeyStatus = 'not-issued' | 'unused' | 'admitted' | 'expired'

/**
 * Tracks the sequence numbers that one incarnation has issued. They are issued in blocks; a
 * block belongs to one customer and stores one bit for each key. Times are monotonic
 * milliseconds.
 */
export class KeyBlocks {
  private readonly blocks = new Map<number, KeyBlock>()
  /** Index of the block from which keys are issued, by customer. */
  private readonly openBlockIndexes = new Map<string, number>()
  private nextBlockIndex = 0

  /**
   * Issues sequence numbers to a customer.
   *
   * @returns `count` numbers that this incarnation has not issued before
   */
  issue (customer: string, count: number, now: number): readonly number[] {
    const sequences: number[] = []
    while (sequences.length < count) {
      const [index, block] = this.findOrOpenBlock(customer, now)
      block.lastIssuedAt = now
      while (sequences.length < count && block.issuedCount < keysPerBlock) sequences.push(index * keysPerBlock + block.issuedCount++)
    }
    return sequences
  }

  /** Returns the state of a sequence number. A number that was issued to another customer counts as not issued. */
  classify (sequence: number, customer: string, now: number): KeyStatus {
    const index = Math.floor(sequence / keysPerBlock)
    const block = this.blocks.get(index)
    if (block === undefined) return index < this.nextBlockIndex ? 'expired' : 'not-issued'
    const offset = sequence % keysPerBlock
    if (offset >= block.issuedCount || block.customer !== customer) return 'not-issued'
    if (now - block.lastIssuedAt >= keyLifetimeMs) return 'expired'
    return (block.admittedBits[offset >> 3]! & 1 << (offset & 7)) === 0 ? 'unused' : 'admitted'
  }

  /**
   * Finds the customer to whom a sequence number was issued; undefined when it was not issued or
   * its block has been removed.
   */
  findCustomer (sequence: number): string | undefined {
    const block = this.blocks.get(Math.floor(sequence / keysPerBlock))
    return block !== undefined && sequence % keysPerBlock < block.issuedCount ? block.customer : undefined
  }

  /** Marks an issued sequence number as admitted, which lasts until its block expires. */
  markAdmitted (sequence: number): void {
    const block = this.blocks.get(Math.floor(sequence / keysPerBlock))
    const offset = sequence % keysPerBlock
    if (block !== undefined) block.admittedBits[offset >> 3]! |= 1 << (offset & 7)
  }

  /** Removes blocks in which all keys have expired. */
  removeExpired (now: number): void {
    for (const [index, block] of this.blocks) {
      if (now - block.lastIssuedAt < keyLifetimeMs) continue
      this.blocks.delete(index)
      if (this.openBlockIndexes.get(block.customer) === index) this.openBlockIndexes.delete(block.customer)
    }
  }

  private findOrOpenBlock (customer: string, now: number): readonly [number, KeyBlock] {
    const current = this.openBlockIndexes.get(customer)
    const known = current === undefined ? undefined : this.blocks.get(current)
    if (known !== undefined && known.issuedCount < keysPerBlock && now - known.openedAt < blockOpenTimeMs) return [current!, known]
    const block: KeyBlock = { customer, openedAt: now, issuedCount: 0, lastIssuedAt: now, admittedBits: new Uint8Array(keysPerBlock / 8) }
    const index = this.nextBlockIndex++
    this.blocks.set(index, block)
    this.openBlockIndexes.set(customer, index)
    return [index, block]
  }
}
