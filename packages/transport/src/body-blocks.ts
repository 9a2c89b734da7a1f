/** Size in bytes of a block. Most bodies are shorter than one. */
export const blockBytes = 16_384

/** Number of released blocks that are kept for reuse; the others are left to the garbage collector. */
const maxFreeBlocks = 2_048

const freeBlocks: Buffer[] = []

/**
 * Collects the pieces of a body in blocks of equal size, so that a body takes its length and at most one block more, however small its
 * pieces are. Blocks are reused, because released buffers stay in memory until the next garbage collection.
 */
export class BodyBlocks {
  readonly #blocks: Buffer[] = []
  #length = 0

  /** Number of bytes that the blocks take. */
  get capacity (): number { return this.#blocks.length * blockBytes }

  /** Copies a piece behind the earlier ones. */
  append (piece: Buffer): void {
    for (let offset = 0; offset < piece.length;) {
      const used = this.#length % blockBytes
      if (this.#length === this.capacity) this.#blocks.push(freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes))
      const count = piece.copy(this.#blocks[this.#blocks.length - 1]!, used, offset)
      offset += count
      this.#length += count
    }
  }

  /** @returns the body as UTF-8 text */
  readText (): string {
    if (this.#blocks.length === 1) return this.#blocks[0]!.toString('utf8', 0, this.#length)
    return Buffer.concat(this.#blocks, this.#length).toString('utf8')
  }

  /** Releases the blocks; the text can't be read any more. */
  release (): void {
    for (const block of this.#blocks) {
      if (freeBlocks.length < maxFreeBlocks) freeBlocks.push(block)
    }
    this.#blocks.length = 0
    this.#length = 0
  }
}
