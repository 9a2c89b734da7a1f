import { type Dispatcher } from '@sesamereel/coordination'
import { resourceDimensions } from '@sesamereel/state'
import { type Metrics } from './metrics.js'

/**
 * Registers the gauges whose values are read from the dispatcher at each scrape.
 */
export function addDispatcherGauges (metrics: Metrics, dispatcher: Dispatcher): void {
  metrics.addGauge('jobs_running', 'Accepted jobs without an answer', [], set => { set({}, dispatcher.readStatus().jobs) })
  metrics.addGauge('tasks_running', 'Attempts under way', [], set => { set({}, dispatcher.readStatus().running) })
  metrics.addGauge('queued_tasks', 'Tasks that wait for a start, by customer', ['customer'], set => {
    for (const { customer, queued } of dispatcher.readStatus().customers) set({ customer }, queued)
  })
  metrics.addGauge('share_in_use', 'Units of the plan in use by this instance; processors in thousandths, memory in MB', ['customer', 'dimension'], set => {
    for (const { customer, used } of dispatcher.readStatus().customers) {
      for (const dimension of resourceDimensions) set({ customer, dimension }, used[dimension])
    }
  })
  metrics.addGauge('share_lent', 'Units of the plan that are lent to other seats; processors in thousandths, memory in MB', ['customer', 'dimension'], set => {
    for (const { customer, lent } of dispatcher.readStatus().customers) {
      for (const dimension of resourceDimensions) set({ customer, dimension }, lent[dimension])
    }
  })
  metrics.addGauge('target_free_credits', 'Slot credits of this instance that are free, by target', ['target'], set => {
    for (const { id, freeCredits } of dispatcher.readStatus().targets) set({ target: id }, freeCredits)
  })
  metrics.addGauge('target_ejected', 'Whether a target is ejected', ['target'], set => {
    for (const { id, isEjected } of dispatcher.readStatus().targets) set({ target: id }, isEjected ? 1 : 0)
  })
}
