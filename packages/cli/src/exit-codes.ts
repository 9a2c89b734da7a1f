/** Exit codes of the program `sesamereel`; docs/exit-codes.md lists them. */
export const exitCodes = {
  success: { code: 0, meaning: 'The command did what it was asked; a submitted or fetched job is complete.' },
  jobFailed: { code: 1, meaning: 'The job was accepted and failed, or was cancelled. `explain CODE` tells more.' },
  invalidInput: { code: 2, meaning: 'The command line or a file is wrong. Nothing was sent.' },
  refused: { code: 3, meaning: 'A server refused the request. Nothing of it was run or written.' },
  unknown: { code: 4, meaning: 'The outcome is unknown: the job may have run, or the edit may have been made.' },
  conflict: { code: 5, meaning: 'The lists changed since the version that the edit is based on. Nothing was written.' },
  unreachable: { code: 6, meaning: 'No server could be reached. Nothing was run or written.' },
  stillRunning: { code: 7, meaning: 'The job is still running; fetch it later with its key.' },
  interrupted: { code: 130, meaning: 'The command was interrupted. A job that was submitted goes on.' }
} as const

export type ExitCodeName = keyof typeof exitCodes
