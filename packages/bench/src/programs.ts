import { fileURLToPath } from 'node:url'

/** Paths of the compiled programs of this workspace. */
export const programs = {
  standIn: fileURLToPath(new URL('../../../stand-ins/dist/src/main.js', import.meta.url)),
  entry: fileURLToPath(new URL('../../../entry/dist/src/main.js', import.meta.url)),
  commandLine: fileURLToPath(new URL('../../../cli/dist/src/main.js', import.meta.url))
} as const
