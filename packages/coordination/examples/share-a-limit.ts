/**
 * Two seats share the limit of one customer. Seat B lends units to seat A, first over a channel
 * that works, then over one that loses the reply. Run the example after the build:
 *
 *     node packages/coordination/dist/examples/share-a-limit.js
 */
import { type LoanGrant, type LoanRequest, ResourceLedger, splitPlanLimits } from '@sesamereel/coordination'
import { createTaskVector, type ResourceVector } from '@sesamereel/state'

const termMs = 14_000
const attemptMs = 11_000
const resource = 'plan:kalibra'
const demand = createTaskVector({ processors: 1_000, memoryMb: 512, accelerators: 0 })

const configuration = {
  version: 1,
  editId: 'example',
  plans: { kalibra: 'large' },
  limits: { large: { processors: 6_000, memoryMb: 4_096, accelerators: 0, parallel: 6 } }
}
const topology = { domains: [{ name: 'gent-1', seats: 2 }] }

function createLedger (seat: number): ResourceLedger {
  const ledger = new ResourceLedger({ termMs, clockDriftMarginMs: 200, requiresEndWithinTerm: true })
  const share = splitPlanLimits(configuration, topology, { domain: 'gent-1', seat }).get('kalibra')
  if (share !== undefined) ledger.setOwnShare(resource, share)
  return ledger
}

const ledgerA = createLedger(0)
const ledgerB = createLedger(1)

function startAll (ledger: ResourceLedger, now: number): number {
  let started = 0
  while (ledger.reserve(resource, demand, now + attemptMs, now, true) !== undefined) started++
  return started
}

function lend (request: LoanRequest, now: number): LoanGrant {
  const lendAll = (_: string, available: ResourceVector): ResourceVector => available
  return ledgerB.grant('gent-1.0', [request], now, true, lendAll)[0]!
}

console.log(`A starts ${startAll(ledgerA, 0)} tasks on its own share`)

const first: LoanRequest = { loanId: 'a-1', resource, amount: demand }
ledgerA.applyGrant('gent-1.1', first, lend(first, 2), 1)
console.log(`A starts ${startAll(ledgerA, 3)} more on a loan of B`)

// The reply is lost: B counts the loan as lent until its term ends, and A never uses it.
lend({ loanId: 'a-2', resource, amount: demand }, 4)
console.log(`A starts ${startAll(ledgerA, 5)} more, B starts ${startAll(ledgerB, 5)} while 2 units are lent`)

console.log(`B starts ${startAll(ledgerB, 4 + termMs)} more after the term`)
