import { type Demand } from './resources.js'

/** A target as the platform's instance list describes it. */
export interface TargetDescription {
  readonly id: string
  /** `IP:PORT` of the target's API. */
  readonly address: string
  readonly domain: string
  readonly state: 'live' | 'leaving'
  readonly slots: number
  /** Maximum number of connections that the target accepts from all instances together. */
  readonly connections: number
  /** Total resources that the target has for its tasks. */
  readonly capacity: Demand
}

/** An entry instance as the platform's instance list describes it. */
export interface InstanceDescription {
  readonly domain: string
  readonly seat: number
  /** `IP:PORT` of the peer API. */
  readonly peerAddress: string
  /** `IP:PORT` of the caller API. */
  readonly callerAddress: string
  readonly state: 'live' | 'leaving'
}

/** The platform's instance list, which may be out of date. */
export interface InstanceList {
  readonly instances: readonly InstanceDescription[]
  readonly targets: readonly TargetDescription[]
}
