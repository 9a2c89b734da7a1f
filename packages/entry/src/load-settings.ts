import { formatFound, listProblems, type Problem, type Settings, settingsSchema } from '@sesamereel/protocol'

export type LoadedSettings =
  | { readonly kind: 'loaded', readonly settings: Settings }
  | { readonly kind: 'invalid', readonly problems: readonly Problem[] }

/**
 * Parses and validates the text of a settings file.
 *
 * @returns the settings, or all problems that were found
 */
export function parseSettings (text: string): LoadedSettings {
  let input: unknown
  try {
    input = JSON.parse(text)
  } catch (error) {
    return { kind: 'invalid', problems: [{ path: '', found: error instanceof Error ? error.message : String(error), expected: 'valid JSON' }] }
  }
  const parsed = settingsSchema.safeParse(input)
  const problems = [...(parsed.success ? [] : listProblems(parsed.error, input)), ...listTopologyProblems(input)]
  return parsed.success && problems.length === 0 ? { kind: 'loaded', settings: parsed.data } : { kind: 'invalid', problems }
}

/** Checks the domain and the seat against the topology, even if other fields are invalid, so that all problems are reported at once. */
function listTopologyProblems (input: unknown): Problem[] {
  const parsed = settingsSchema.pick({ domain: true, seat: true, topology: true }).strip().safeParse(input)
  if (!parsed.success) return []
  const { domain, seat, topology } = parsed.data
  const problems: Problem[] = []
  const names = topology.domains.map(each => each.name)
  for (const [index, name] of names.entries()) {
    if (names.indexOf(name) !== index) problems.push({ path: `topology.domains[${index}].name`, found: formatFound(name), expected: 'a name that no other failure domain has' })
  }
  const ownDomain = topology.domains.find(each => each.name === domain)
  if (ownDomain === undefined) problems.push({ path: 'domain', found: formatFound(domain), expected: `a failure domain of the topology: ${names.join(', ')}` })
  else if (seat >= ownDomain.seats) problems.push({ path: 'seat', found: String(seat), expected: `a seat from 0 to ${ownDomain.seats - 1}, as in the topology` })
  return problems
}
