import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Cluster } from '../src/cluster.js'
import { type TargetProcess } from '../src/cluster-model.js'
import { ClusterNetwork } from '../src/cluster-network.js'
import { ProcessLauncher } from '../src/launcher.js'

/** Address on which all processes of the machine listen by default, with ports that the system chooses. */
const commonHost = '127.0.0.1'

function getHost (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}

// Guards against a cluster that takes the port of another one's killed target, and with it the orders of those that still list it.
test('targets and links of a cluster listen at addresses that no other cluster uses, and that it uses once', async () => {
  const cluster = new Cluster({ domains: [{ name: 'a', seats: 1, targets: [{ speed: 1, slots: 8 }] }], plans: {}, limits: {}, delayMs: 0 })
  const launcher = new ProcessLauncher()
  try {
    await cluster.start()
    const [killed] = cluster.targets as readonly [TargetProcess]
    cluster.killProcess(killed.id)
    const next = await cluster.startTarget('a', killed.spec)
    const network = new ClusterNetwork(launcher, ['a'], 0)
    await network.start(cluster.platformAddress)
    await network.connectTarget(next)
    const linkAddresses = [network.getPlatformAddress('a'), network.buildViews()['a']![next.apiAddress]!]
    const addresses = [killed.apiAddress, next.apiAddress, ...linkAddresses]
    assert.equal(new Set(addresses).size, addresses.length)
    assert.ok(!addresses.map(getHost).includes(commonHost), addresses.join(' '))
  } finally {
    await cluster.close()
    await launcher.close()
  }
})
