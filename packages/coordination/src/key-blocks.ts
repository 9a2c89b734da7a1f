/** Keys in one block. */
const blockSize = 1_024

/** A block takes further keys for this long, so that its age tells the age of its keys. */
const blockOpenMs = 60_000

/** Time in milliseconds within which an issued key can be used. */
export const keyLifetimeMs = 3_600_000

interface KeyBlock {
  readonly customer: string
  readonly openedAt: number
  issued: number
  lastIssuedAt: number
  /** One bit for each key that was admitted. */
  readonly admitted: Uint8Array
}

/** What is known of a sequence number for a customer. */
export type KeyStatus = 'not-issued' | 'unused' | 'admitted' | 'expired'

/**
 * Sequence numbers that one incarnation issued. A block belongs to one customer and keeps one
 * bit for each key. Times are monotonic milliseconds.
 */
export class KeyBlocks {
  private readonly blocks = new Map<number, KeyBlock>()
  /** Number of the block that still takes keys of a customer. */
  private readonly open = new Map<string, number>()
  private nextBlock = 0

  /**
   * Issues sequence numbers.
   *
   * @returns numbers that were never issued before
   */
  issue (customer: string, count: number, now: number): readonly number[] {
    const sequences: number[] = []
    while (sequences.length < count) {
      const [index, block] = this.openBlock(customer, now)
      block.lastIssuedAt = now
      while (sequences.length < count && block.issued < blockSize) sequences.push(index * blockSize + block.issued++)
    }
    return sequences
  }

  /** Tells what is known of a sequence number. A key of another customer counts as not issued. */
  classify (sequence: number, customer: string, now: number): KeyStatus {
    const index = Math.floor(sequence / blockSize)
    const block = this.blocks.get(index)
    if (block === undefined) return index < this.nextBlock ? 'expired' : 'not-issued'
    const offset = sequence % blockSize
    if (offset >= block.issued || block.customer !== customer) return 'not-issued'
    if (now - block.lastIssuedAt >= keyLifetimeMs) return 'expired'
    return (block.admitted[offset >> 3]! & 1 << (offset & 7)) === 0 ? 'unused' : 'admitted'
  }

  /** Finds the customer to whom a sequence number was issued, undefined when its block is not known. */
  findCustomer (sequence: number): string | undefined {
    const block = this.blocks.get(Math.floor(sequence / blockSize))
    return block !== undefined && sequence % blockSize < block.issued ? block.customer : undefined
  }

  /** Marks an issued sequence number as admitted; it stays so until the block expires. */
  markAdmitted (sequence: number): void {
    const block = this.blocks.get(Math.floor(sequence / blockSize))
    const offset = sequence % blockSize
    if (block !== undefined) block.admitted[offset >> 3]! |= 1 << (offset & 7)
  }

  /** Drops blocks whose keys have all expired. */
  removeExpired (now: number): void {
    for (const [index, block] of this.blocks) {
      if (now - block.lastIssuedAt < keyLifetimeMs) continue
      this.blocks.delete(index)
      if (this.open.get(block.customer) === index) this.open.delete(block.customer)
    }
  }

  private openBlock (customer: string, now: number): readonly [number, KeyBlock] {
    const current = this.open.get(customer)
    const known = current === undefined ? undefined : this.blocks.get(current)
    if (known !== undefined && known.issued < blockSize && now - known.openedAt < blockOpenMs) return [current!, known]
    const block: KeyBlock = { customer, openedAt: now, issued: 0, lastIssuedAt: now, admitted: new Uint8Array(blockSize / 8) }
    const index = this.nextBlock++
    this.blocks.set(index, block)
    this.open.set(customer, index)
    return [index, block]
  }
}
