import { describe, it } from 'node:test'
import { createConnection } from './connection-fixture.js'

// An instance that waited for the answer of an earlier holder did not try the new one before all its timeouts had
// passed. As it was not connected, it took a sound dispatcher for lost and claimed the domain.
describe('a connection that waits for the answer of an earlier holder', () => {
  it('connects at once to the holder that a newer row names', async () => {
    const { follow, nameSilent } = createConnection()
    await follow('first', 1)
    await nameSilent('second', 2)
    await follow('third', 3)
  })
})
