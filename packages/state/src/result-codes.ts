/** Definition of a result code. */
export interface ResultCode {
  readonly code: number
  readonly name: string
  readonly title: string
  /** HTTP status of a response with the code. */
  readonly status: number
  /** Whether the code proves that no task of the request has run or will run. */
  readonly notRun: boolean
  readonly hint: string
}

function defineCodes<const T extends Record<string, Omit<ResultCode, 'name'>>> (table: T): { readonly [K in keyof T]: T[K] & { readonly name: K } } {
  const named = Object.entries(table).map(([name, row]) => [name, { name, ...row }])
  return Object.fromEntries(named) as { readonly [K in keyof T]: T[K] & { readonly name: K } }
}

/**
 * All result codes. 1xx: the request is wrong; 2xx: the request cannot be served now;
 * 3xx: the outcome is unknown or no longer kept; 4xx: an accepted job failed; 5xx: errors with the operators' lists.
 */
export const resultCodes = defineCodes({
  MalformedRequest: { code: 100, title: 'The request is malformed', status: 400, notRun: true, hint: 'Correct the named fields and send the request again.' },
  Unauthorized: { code: 101, title: 'The token is missing or wrong', status: 401, notRun: true, hint: 'Send the token of the caller or operator as "Authorization: Bearer TOKEN".' },
  UnknownCustomer: { code: 102, title: 'No plan is known for the customer', status: 403, notRun: true, hint: 'Check the name, or ask an operator to add the customer to the plans list.' },
  JobTooLarge: { code: 103, title: 'The job has too many tasks or the body is too large', status: 413, notRun: true, hint: 'Split the job into smaller jobs.' },
  KeyMalformed: { code: 104, title: 'The key does not have the form of an issued key', status: 400, notRun: true, hint: 'Ask for keys with POST /v1/keys.' },
  KeyNotIssued: { code: 105, title: 'The key was not issued to this customer', status: 409, notRun: true, hint: 'Ask for keys with POST /v1/keys and use each for one job.' },
  KeyReused: { code: 106, title: 'The key was already used for another job', status: 409, notRun: true, hint: 'Use a new key for a new job; resubmit a job with exactly the same body.' },
  DemandAbovePlan: { code: 107, title: 'A task needs more than the plan of its customer allows', status: 422, notRun: true, hint: 'Lower the demand of the named task, or ask an operator for a larger plan.' },
  DemandAboveTargets: { code: 108, title: 'A task needs more than any target has', status: 422, notRun: true, hint: 'Lower the demand of the named task.' },
  UnknownEndpoint: { code: 109, title: 'There is no such endpoint', status: 404, notRun: true, hint: 'See the list of endpoints in docs/design.md, section 8.' },
  NotReady: { code: 200, title: 'The instance is not ready', status: 503, notRun: true, hint: 'Send the request to another instance.' },
  Leaving: { code: 201, title: 'The instance is leaving', status: 503, notRun: true, hint: 'Send the request to another instance.' },
  QueueFull: { code: 202, title: 'Too many tasks of the customer are queued', status: 429, notRun: true, hint: 'Wait for running jobs to end, then submit again.' },
  NoTargets: { code: 203, title: 'No target is known in the failure domain', status: 503, notRun: true, hint: 'Submit again later or through another failure domain.' },
  // An earlier submission with the same key may have reached the owner, so this code does not prove that nothing has run.
  NotSent: { code: 204, title: 'The owner of the key could not be reached and this request was not sent to it', status: 503, notRun: false, hint: 'Submit again with the same key; only the owner can tell whether an earlier submission ran.' },
  OutcomeUnknown: { code: 300, title: 'The owner of the key does not answer; the outcome is unknown', status: 503, notRun: false, hint: 'Ask again with the same key; resubmitting the same body is safe.' },
  OwnerGone: { code: 301, title: 'The instance that issued the key is gone; the outcome is unknown', status: 410, notRun: false, hint: 'Nothing of the job will start from now on through another instance. Check the effects before you submit the work with a new key.' },
  KeyExpired: { code: 302, title: 'The key is too old', status: 410, notRun: false, hint: 'The outcome of the job is no longer kept. Use a new key for new work.' },
  AnswerExpired: { code: 303, title: 'The answer is no longer kept', status: 410, notRun: false, hint: 'Fetch answers within 10 minutes after they are complete.' },
  JobUnknown: { code: 304, title: 'No job was submitted with the key', status: 404, notRun: false, hint: 'A submission with this key may still be on its way; submit it again with the same key.' },
  InternalError: { code: 399, title: 'The instance met an unexpected error', status: 500, notRun: false, hint: 'Ask again with the same key, and report the error with the log lines of the instance.' },
  TaskFailed: { code: 400, title: 'A task ended with a failure', status: 200, notRun: false, hint: 'See the message of the target. A task that started is not started again unless the job is repeatable.' },
  TaskTimedOut: { code: 401, title: 'A task ran longer than its timeout', status: 200, notRun: false, hint: 'Raise timeoutMs (at most 10000) or split the task.' },
  TaskOutcomeUnknown: { code: 402, title: 'The outcome of a task is unknown', status: 200, notRun: false, hint: 'The task may have run. Check its effects before you submit it again.' },
  JobCancelled: { code: 403, title: 'The job was cancelled', status: 200, notRun: false, hint: 'Tasks that had started may have run.' },
  AttemptsExhausted: { code: 404, title: 'A repeatable task failed on every attempt', status: 200, notRun: false, hint: 'See the message of the last attempt.' },
  TaskOverMemory: { code: 405, title: 'A task used more memory than it declared', status: 200, notRun: false, hint: 'Raise the declared memory of the task.' },
  DemandNoLongerAllowed: { code: 406, title: 'A queued task no longer fits the plan or any target', status: 200, notRun: false, hint: 'The plan or the targets changed after the job was accepted. Lower the demand or ask for a larger plan.' },
  ListInvalid: { code: 500, title: 'The list is not valid', status: 422, notRun: true, hint: 'Correct the named entries; "sesamereel check" shows all problems.' },
  ListConflict: { code: 501, title: 'The lists changed since the version that the edit is based on', status: 409, notRun: true, hint: 'Get the current lists, make the edit again and apply it.' },
  StoreUnavailable: { code: 502, title: 'The table service cannot be reached and nothing was written', status: 503, notRun: true, hint: 'The lists in force stay in force. Try again when the store is back.' },
  EditOutcomeUnknown: { code: 503, title: 'The table service did not confirm the edit', status: 503, notRun: false, hint: 'Get the current lists and compare the edit id before you apply the edit again.' }
})

export type ResultCodeName = keyof typeof resultCodes

/** A refusal or failure as it is sent to callers, operators and peers. */
export interface ResultError {
  readonly code: number
  readonly name: ResultCodeName
  readonly title: string
  /** Names the offending value. */
  readonly message: string
  readonly hint: string
  /** Path of the offending field, when there is one. */
  readonly field?: string
  readonly notRun: boolean
}

/**
 * Creates the error that is sent for a result code.
 *
 * @param name - name of the result code
 * @param message - names the offending value
 * @param field - path of the offending field
 * @returns the error with title and hint from the table
 */
export function createResultError (name: ResultCodeName, message: string, field?: string): ResultError {
  const row = resultCodes[name]
  const error = { code: row.code, name, title: row.title, message, hint: row.hint, notRun: row.notRun }
  return field === undefined ? error : { ...error, field }
}
