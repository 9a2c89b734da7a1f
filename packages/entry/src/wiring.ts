import { type AttemptRunner, type Clock, ConfigurationHolder, createPlacement, defaultSeatTimes, Dispatcher, Membership, routeKey, SeatDirectory, SystemClock } from '@sesamereel/coordination'
import { type IssueKeysRequest, type IssueReply, type Settings } from '@sesamereel/protocol'
import { createResultError, formatSeat, type JobKey } from '@sesamereel/state'
import { createApiServer, createPeerServer, type HttpListener, PeerClients, PlatformClient, type Role, TargetClient, TokenMatcher } from '@sesamereel/transport'
import { asFunction, asValue, type AwilixContainer, createContainer } from 'awilix'
import { AnswerArchive } from './answer-archive.js'
import { ConfigurationStore } from './configuration-store.js'
import { ConfigurationSync } from './configuration-sync.js'
import { DispatchTelemetry } from './dispatch-telemetry.js'
import { EventLog } from './event-log.js'
import { JobForwarder } from './job-forwarder.js'
import { HeartbeatExchange } from './heartbeat-exchange.js'
import { createIdentity, type Identity } from './identity.js'
import { InstancePhase } from './instance-phase.js'
import { type HomeRoute, JobRouter, type KeyRoute } from './job-router.js'
import { ListEditor } from './list-editor.js'
import { LocalJobs } from './local-jobs.js'
import { Metrics } from './metrics.js'
import { Monitor } from './monitor.js'
import { OtlpExporter } from './otlp-exporter.js'
import { PeerHandler } from './peer-handler.js'
import { parsePlacementPolicy } from './placement-choice.js'
import { PlannedStop } from './planned-stop.js'
import { PlatformPoller } from './platform-poller.js'
import { SeatClaim } from './seat-claim.js'
import { SeatKeeper } from './seat-keeper.js'
import { describeInstance } from './status.js'
import { TargetDirectory } from './target-directory.js'
import { TraceStore } from './trace-store.js'
import { TracingAttemptRunner } from './tracing-attempt-runner.js'
import { Tracing } from './tracing.js'

/** Components of an instance. Where two components depend on each other, one may use the other only in callbacks. */
export interface Cradle {
  readonly settings: Settings
  readonly onSuperseded: () => void
  readonly clock: Clock
  readonly identity: Identity
  readonly log: EventLog
  readonly metrics: Metrics
  readonly tracing: Tracing
  readonly holder: ConfigurationHolder
  readonly phase: InstancePhase
  readonly platform: PlatformClient
  readonly peers: PeerClients
  readonly directory: SeatDirectory
  readonly membership: Membership
  readonly claim: SeatClaim
  readonly keeper: SeatKeeper
  readonly targetClient: TargetClient
  readonly runner: AttemptRunner
  readonly dispatcher: Dispatcher
  readonly targets: TargetDirectory
  readonly store: ConfigurationStore
  readonly sync: ConfigurationSync
  readonly heartbeats: HeartbeatExchange
  readonly watch: PlatformPoller
  readonly localJobs: LocalJobs
  readonly archive: AnswerArchive
  readonly issueLocally: (request: IssueKeysRequest) => IssueReply
  readonly routeToOwner: (key: JobKey) => KeyRoute
  readonly routeToHome: (customer: string) => HomeRoute
  readonly callers: JobRouter
  readonly editor: ListEditor
  readonly monitor: Monitor
  readonly plannedStop: PlannedStop
  readonly apiServer: HttpListener
  readonly peerServer: HttpListener
}

/**
 * Registers the components of one instance in a container. Starts nothing.
 *
 * @param settings - validated settings
 * @param onSuperseded - called once when a later holder of the seat is known
 * @returns the container, which creates each component on first use
 */
export function wireInstance (settings: Settings, onSuperseded: () => void): AwilixContainer<Cradle> {
  const container = createContainer<Cradle>({ strict: true })
  const { cradle } = container
  container.register({
    settings: asValue(settings),
    onSuperseded: asValue(onSuperseded),
    clock: asFunction(() => new SystemClock()).singleton(),
    identity: asFunction(() => createIdentity(settings)).singleton(),
    log: asFunction(({ identity }: Cradle) => new EventLog(settings.logLevel, { instance: formatSeat(identity), incarnation: identity.incarnation })).singleton(),
    metrics: asFunction(() => new Metrics()).singleton(),
    tracing: asFunction(createTracing).singleton(),
    holder: asFunction(() => new ConfigurationHolder()).singleton(),
    phase: asFunction(({ holder }: Cradle) => new InstancePhase(holder)).singleton(),
    platform: asFunction(({ metrics }: Cradle) => new PlatformClient(settings.platform.address, metrics)).singleton(),
    peers: asFunction(createPeers(cradle)).singleton(),
    directory: asFunction(({ clock }: Cradle) => new SeatDirectory(clock.now())).singleton(),
    membership: asFunction(({ identity, directory }: Cradle) => new Membership(identity, directory)).singleton(),
    claim: asFunction(({ platform, identity }: Cradle) => new SeatClaim(platform, formatSeat(identity), identity.incarnation)).singleton(),
    keeper: asFunction(createSeatKeeper).singleton(),
    targetClient: asFunction(createTargetClient(cradle)).singleton(),
    runner: asFunction(({ targetClient, tracing }: Cradle) => new TracingAttemptRunner(targetClient, tracing)).singleton(),
    dispatcher: asFunction(createDispatcher).singleton(),
    targets: asFunction(({ dispatcher, targetClient, log }: Cradle) => new TargetDirectory(dispatcher, targets => { targetClient.applyTargets(targets) }, log)).singleton(),
    store: asFunction(({ platform }: Cradle) => new ConfigurationStore(platform)).singleton(),
    sync: asFunction(createConfigurationSync(cradle)).singleton(),
    heartbeats: asFunction(createHeartbeats).singleton(),
    watch: asFunction((parts: Cradle) => new PlatformPoller({ ...pickPollerOptions(parts), domain: settings.domain })).singleton(),
    localJobs: asFunction(({ dispatcher, tracing }: Cradle) => new LocalJobs(dispatcher, tracing)).singleton(),
    archive: asFunction(({ platform }: Cradle) => new AnswerArchive(platform)).singleton(),
    issueLocally: asFunction(createKeyIssuer).singleton(),
    routeToOwner: asFunction(createOwnerRoute).singleton(),
    routeToHome: asFunction(createHomeRoute).singleton(),
    callers: asFunction(createJobRouter).singleton(),
    editor: asFunction(createEditor(cradle)).singleton(),
    monitor: asFunction(({ metrics, tracing, phase, log }: Cradle) => new Monitor(metrics, tracing, phase, log)).singleton(),
    plannedStop: asFunction(({ identity, clock, log, phase, heartbeats, dispatcher, archive, claim }: Cradle) => new PlannedStop({ identity, clock, log, phase, heartbeats, dispatcher, archive, claim })).singleton(),
    apiServer: asFunction(createCallerListener).singleton(),
    peerServer: asFunction(createPeerListener).singleton()
  })
  return container
}

function createTracing ({ settings, identity, metrics }: Cradle): Tracing {
  const resource = { 'service.name': 'sesamereeld', 'service.instance.id': `${formatSeat(identity)}.${identity.incarnation}` }
  const exporters = settings.traceCollector === undefined ? [] : [new OtlpExporter(settings.traceCollector, resource, count => { metrics.observeDroppedSpans(count) })]
  return new Tracing(new TraceStore(), exporters)
}

function createPeers (cradle: Cradle): (parts: Cradle) => PeerClients {
  return ({ settings, identity, metrics }) => new PeerClients({
    token: settings.peerToken,
    seat: formatSeat(identity),
    observer: metrics,
    // A superseded instance sends no loan messages, so its loans are not renewed and its work ends when they expire.
    findAddress: seat => cradle.phase.isSuperseded() ? undefined : cradle.membership.listPeers().find(peer => peer.name === seat)?.peerAddress
  })
}

function createSeatKeeper ({ settings, identity, clock, log, claim, phase, onSuperseded }: Cradle): SeatKeeper {
  const seats = settings.topology.domains.find(domain => domain.name === settings.domain)?.seats ?? 1
  return new SeatKeeper({
    identity,
    clock,
    log,
    claim,
    guardOptions: { ...defaultSeatTimes, needsConfirmation: seats > 1 },
    onSuperseded: () => {
      phase.markSuperseded()
      onSuperseded()
    }
  })
}

function createTargetClient (cradle: Cradle): (parts: Cradle) => TargetClient {
  return ({ settings, clock, metrics }) => new TargetClient({
    clock,
    observer: metrics,
    domainSeatCount: settings.topology.domains.find(domain => domain.name === settings.domain)?.seats ?? 1,
    onReply: (targetId, { boot, freeSlots, leaving }) => { cradle.dispatcher.applyTargetReport(targetId, { boot, freeSlots, leaving }) }
  })
}

function createDispatcher ({ settings, identity, clock, runner, peers, keeper, metrics, log }: Cradle): Dispatcher {
  return new Dispatcher({
    identity,
    topology: settings.topology,
    clock,
    runner,
    loans: peers,
    placement: createPlacement(parsePlacementPolicy(process.env['SESAMEREEL_PLACEMENT']), Math.random),
    random: Math.random,
    isShareUsable: () => keeper.isShareUsable(),
    observer: new DispatchTelemetry(metrics, log)
  })
}

function createConfigurationSync (cradle: Cradle): (parts: Cradle) => ConfigurationSync {
  return ({ holder, peers, log }) => new ConfigurationSync(holder, peers, log, configuration => {
    cradle.dispatcher.applyConfiguration(configuration)
    cradle.editor.recordVersion(configuration)
  })
}

function createHeartbeats ({ settings, identity, clock, log, membership, directory, keeper, phase, sync, peers, dispatcher, holder }: Cradle): HeartbeatExchange {
  return new HeartbeatExchange({ settings, identity, clock, log, membership, directory, keeper, phase, sync, peers, dispatcher, readVersion: () => holder.current.version })
}

function pickPollerOptions ({ platform, store, sync, heartbeats, targets, peers, phase, log }: Cradle): Pick<Cradle, 'platform' | 'store' | 'sync' | 'heartbeats' | 'targets' | 'peers' | 'phase' | 'log'> {
  return { platform, store, sync, heartbeats, targets, peers, phase, log }
}

function createKeyIssuer ({ dispatcher, phase }: Cradle): Cradle['issueLocally'] {
  return ({ customer, count }) => {
    const reason = phase.isLeaving() ? undefined : phase.explainNotReady()
    if (reason !== undefined) return { kind: 'refused', error: createResultError('NotReady', reason) }
    if (phase.isLeaving()) return { kind: 'refused', error: createResultError('Leaving', 'the instance issues no more keys') }
    return dispatcher.issueKeys(customer, count)
  }
}

function createOwnerRoute ({ identity, membership, keeper }: Cradle): Cradle['routeToOwner'] {
  return key => {
    const route = routeKey(key, identity, membership, keeper.isConfirmed())
    switch (route.kind) {
      case 'local': return { kind: 'local' }
      case 'forward': return { kind: 'forward', address: route.peer.peerAddress }
      case 'owner-gone': return { kind: 'gone' }
      case 'owner-unreachable': return { kind: 'unreachable' }
    }
  }
}

function createHomeRoute ({ identity, membership, phase }: Cradle): Cradle['routeToHome'] {
  return customer => {
    const home = membership.pickHomeInstance(customer, identity.domain, phase.getState() === 'live')
    const peer = home === undefined || home === formatSeat(identity) ? undefined : membership.listPeers().find(each => each.name === home)
    return peer === undefined ? { kind: 'local' } : { kind: 'forward', address: peer.peerAddress }
  }
}

function createJobRouter ({ localJobs, peers, phase, archive, tracing, issueLocally, routeToOwner, routeToHome }: Cradle): JobRouter {
  return new JobRouter({ localJobs, forwarder: new JobForwarder(peers, () => phase.isLeaving()), archive, peers, tracing, issueLocally, routeKey: routeToOwner, routeHome: routeToHome })
}

function createEditor (cradle: Cradle): (parts: Cradle) => ListEditor {
  return ({ store, holder, log, phase }) => new ListEditor({
    store,
    readInForce: () => holder.current,
    explainStarting: () => phase.isLeaving() ? undefined : phase.explainNotReady(),
    applyIfNewer: configuration => { cradle.sync.applyIfNewer(configuration, 'store') },
    describeInstance: () => describeInstance(cradle),
    observeEdit: (edit, outcome, version) => { log.log('info', 'list-edit', { list: edit.list, edit: edit.editId, base: edit.baseVersion, outcome, version }) }
  })
}

function createCallerListener ({ settings, callers, editor, monitor, phase }: Cradle): HttpListener {
  const tokens = new TokenMatcher<Role>([
    ...settings.callers.map(({ token, customers }) => ({ token, value: { kind: 'caller' as const, customers } })),
    { token: settings.operatorToken, value: { kind: 'operator' as const } }
  ])
  return createApiServer({ address: settings.callerAddress, tokens, callerService: callers, operatorService: editor, monitorService: monitor, isLeaving: () => phase.isLeaving() })
}

function createPeerListener ({ settings, heartbeats, localJobs, dispatcher, holder, issueLocally, routeToOwner }: Cradle): HttpListener {
  const service = new PeerHandler({ heartbeats, localJobs, dispatcher, holder, issueLocally, routeKey: routeToOwner })
  return createPeerServer({ address: settings.peerAddress, tokens: new TokenMatcher([{ token: settings.peerToken, value: true as const }]), service })
}
