import { type JobAnswer } from '@sesamereel/state'
import { type PlatformClient } from '@sesamereel/transport'
import { z } from 'zod'

/** Final answer of a job, as an instance archives it during a planned stop. */
export interface ArchivedAnswer {
  readonly key: string
  readonly customer: string
  readonly bodyHash: string
  readonly answer: JobAnswer
}

const archiveSchema = z.object({
  answers: z.array(z.object({
    key: z.string(),
    customer: z.string(),
    bodyHash: z.string(),
    answer: z.custom<JobAnswer>(value => typeof value === 'object' && value !== null && 'state' in value)
  }))
})

/** Maximum number of archives of other instances in the cache. */
const maxCachedArchives = 16

/** Time in milliseconds after which a missing or malformed archive is read again. */
const archiveRetryIntervalMs = 1_000

interface CachedArchive {
  /** Answers by key; undefined when the archive was missing or malformed. */
  readonly answers: ReadonlyMap<string, ArchivedAnswer> | undefined
  readonly readAt: number
}

/** Result of a lookup in the archive of an instance that has ended. */
export type ArchiveResult =
  | { readonly kind: 'found', readonly answer: ArchivedAnswer }
  /** The archive is missing or malformed, or holds no answer for this key. */
  | { readonly kind: 'absent' }
  /** The object store cannot be reached. */
  | { readonly kind: 'unavailable' }

/** Reads and writes the answers that instances archive in the object store during a planned stop. */
export class AnswerArchive {
  readonly #platform: PlatformClient
  readonly #cache = new Map<string, CachedArchive>()

  constructor (platform: PlatformClient) {
    this.#platform = platform
  }

  /**
   * Stores all answers of an incarnation as one object.
   *
   * @param owner - `DOMAIN.SEAT.INCARNATION`
   * @returns whether the object store confirmed the write
   */
  async store (owner: string, answers: readonly ArchivedAnswer[]): Promise<boolean> {
    return await this.#platform.storeObject(formatObjectName(owner), { answers })
  }

  /**
   * Finds the answer for a key in the archive of the incarnation that issued the key.
   *
   * @param owner - `DOMAIN.SEAT.INCARNATION`
   * @param key - text form of the key
   */
  async findAnswer (owner: string, key: string): Promise<ArchiveResult> {
    let cached = this.#cache.get(owner)
    if (cached === undefined || (cached.answers === undefined && performance.now() - cached.readAt > archiveRetryIntervalMs)) {
      const read = await this.#platform.readObject(formatObjectName(owner))
      if (read.kind === 'unavailable') return { kind: 'unavailable' }
      const parsed = read.kind === 'found' ? archiveSchema.safeParse(read.value) : undefined
      const answers = parsed?.success === true ? new Map(parsed.data.answers.map(answer => [answer.key, answer])) : undefined
      cached = { answers, readAt: performance.now() }
      this.#cache.delete(owner)
      this.#cache.set(owner, cached)
      if (this.#cache.size > maxCachedArchives) this.#cache.delete(this.#cache.keys().next().value!)
    }
    const answer = cached.answers?.get(key)
    return answer === undefined ? { kind: 'absent' } : { kind: 'found', answer }
  }
}

function formatObjectName (owner: string): string {
  return `answers-${owner}`
}
