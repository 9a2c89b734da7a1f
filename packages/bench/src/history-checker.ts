import { checkAnswers } from './history-check-answers.js'
import { checkConfigurations } from './history-check-configurations.js'
import { checkLeaving, checkStops } from './history-check-departures.js'
import { checkPlans } from './history-check-plans.js'
import { checkRejections } from './history-check-rejections.js'
import { checkStarts } from './history-check-starts.js'
import { type History, type Violation } from './history-records.js'

/**
 * Checks a history against the invariants. Uses only records of callers, targets, the platform and
 * the driver, and nothing that the dispatcher reports about itself.
 *
 * @returns the violations; none for a correct history
 */
export function checkHistory (history: History): readonly Violation[] {
  return [
    ...checkStarts(history),
    ...checkAnswers(history),
    ...checkRejections(history),
    ...checkLeaving(history),
    ...checkStops(history),
    ...checkConfigurations(history),
    ...checkPlans(history)
  ]
}
