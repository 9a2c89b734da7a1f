import { type JobAnswer } from '@sesamereel/state'
import { type PlatformClient } from '@sesamereel/transport'
import { z } from 'zod'

/** An answer as it is handed over at a planned stop. */
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

/** Archives of other instances that are kept in memory. */
const keptArchives = 16

/** Time in milliseconds after which a missing or unreadable archive is looked for again. */
const retryMs = 1_000

interface KeptArchive {
  readonly answers: ReadonlyMap<string, ArchivedAnswer> | undefined
  readonly readAt: number
}

/** Result of a look into the archive of a gone instance. */
export type ArchiveResult =
  | { readonly kind: 'found', readonly answer: ArchivedAnswer }
  /** The owner left no answer to this key. */
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable' }

/** Answers that instances left in the object store at their planned stop. */
export class AnswerArchive {
  readonly #platform: PlatformClient
  readonly #kept = new Map<string, KeptArchive>()

  constructor (platform: PlatformClient) {
    this.#platform = platform
  }

  /**
   * Stores all answers of an incarnation as one object.
   *
   * @param owner - `DOMAIN.SEAT.INCARNATION`
   * @returns whether the store confirmed it
   */
  async store (owner: string, answers: readonly ArchivedAnswer[]): Promise<boolean> {
    return await this.#platform.storeObject(formatName(owner), { answers })
  }

  /**
   * Finds the answer to a key in the archive of its owner.
   *
   * @param owner - `DOMAIN.SEAT.INCARNATION`
   * @param key - text form of the key
   */
  async findAnswer (owner: string, key: string): Promise<ArchiveResult> {
    let kept = this.#kept.get(owner)
    if (kept === undefined || (kept.answers === undefined && performance.now() - kept.readAt > retryMs)) {
      const read = await this.#platform.readObject(formatName(owner))
      if (read.kind === 'unavailable') return { kind: 'unavailable' }
      const parsed = read.kind === 'found' ? archiveSchema.safeParse(read.value) : undefined
      const answers = parsed?.success === true ? new Map(parsed.data.answers.map(answer => [answer.key, answer])) : undefined
      kept = { answers, readAt: performance.now() }
      this.#kept.delete(owner)
      this.#kept.set(owner, kept)
      if (this.#kept.size > keptArchives) this.#kept.delete(this.#kept.keys().next().value!)
    }
    const answer = kept.answers?.get(key)
    return answer === undefined ? { kind: 'absent' } : { kind: 'found', answer }
  }
}

function formatName (owner: string): string {
  return `answers-${owner}`
}
