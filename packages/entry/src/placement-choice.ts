import { type PlacementName, placementNames } from '@sesamereel/coordination'

/**
 * Reads the placement policy from the environment variable SESAMEREEL_PLACEMENT. It is no setting,
 * since operators must not have to tune anything; the bench compares policies with it.
 *
 * @param value - value of the variable
 * @returns the policy; `default` when the variable is not set
 * @throws an error for an unknown policy
 */
export function parsePlacementPolicy (value: string | undefined): PlacementName {
  if (value === undefined || value === '') return 'default'
  const name = placementNames.find(candidate => candidate === value)
  if (name === undefined) throw new Error(`SESAMEREEL_PLACEMENT: found ${JSON.stringify(value)}, expected ${placementNames.join(', ')}`)
  return name
}
