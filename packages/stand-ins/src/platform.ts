import { serveStandIn, type RunningStandIn } from './http-server.js'
import { InstanceListHistory } from './instance-list-history.js'
import { createPlatformAdmin } from './platform-admin.js'
import { createPlatformApi } from './platform-api.js'
import { PlatformFaultSwitches } from './platform-faults.js'
import { type PlatformSettings, platformSettingsSchema } from './platform-settings.js'
import { type PlatformState } from './platform-state.js'
import { RateLimiter } from './rate-limiter.js'
import { RecordLog } from './record-log.js'
import { RowStore } from './row-store.js'

/**
 * Starts a platform: table service, object store and instance list on one address, switches and
 * records on another.
 *
 * @param input - settings; absent ones get their defaults
 * @returns the running platform with the addresses `api` and `admin`
 * @throws an error for invalid settings
 */
export async function startPlatform (input: PlatformSettings): Promise<RunningStandIn> {
  const settings = platformSettingsSchema.parse(input)
  const records = new RecordLog(settings.recordFile)
  const rows = new RowStore()
  if (settings.rows.length > 0) rows.transact({ attemptId: 'settings', checks: [], writes: settings.rows }, 0)
  const state: PlatformState = {
    records,
    rows,
    objects: new Map(),
    lists: new InstanceListHistory(settings.list, records),
    faults: new PlatformFaultSwitches(),
    counts: { reads: 0, writes: 0, lists: 0 },
    views: {}
  }
  const limits = { writeMs: settings.writeMs, writes: new RateLimiter(settings.writesPerSecond), reads: new RateLimiter(settings.readsPerSecond) }
  return await serveStandIn({
    api: createPlatformApi(state, limits),
    apiAddress: settings.address,
    admin: createPlatformAdmin(state),
    adminAddress: settings.adminAddress,
    records
  })
}
