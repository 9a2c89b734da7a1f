import { mkdirSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { renderReferenceFiles } from './reference-files.js'

for (const file of renderReferenceFiles()) {
  const path = join(process.cwd(), file.path)
  mkdirSync(dirname(path), { recursive: true })
  writeFileSync(path, file.content)
}
