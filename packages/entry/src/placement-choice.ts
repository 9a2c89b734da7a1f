import { type PlacementName, placementNames } from '@sesamereel/coordination'

/**
 * Parses the placement policy from the environment variable SESAMEREEL_PLACEMENT, with which the
 * bench compares policies. It is not a setting, because operators should not need to tune it.
 *
 * @param value - value of the variable
 * @returns the policy; `default` when the variable is unset or empty
 * @throws an error for an unknown policy
 */
export function parsePlacementPolicy (value: string | undefined): PlacementName {
  if (value === undefined || value === '') return 'default'
  const name = placementNames.find(candidate => candidate === value)
  if (name === undefined) throw new Error(`SESAMEREEL_PLACEMENT: found ${JSON.stringify(value)}, expected ${placementNames.join(', ')}`)
  return name
}
