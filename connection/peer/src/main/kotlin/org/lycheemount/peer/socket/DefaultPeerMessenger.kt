package org.lycheemount.peer.socket

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.StateDumpSource
import org.lycheemount.common.createSelectorThread
import org.lycheemount.peer.PeerChannel
import org.lycheemount.peer.PeerHandler
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.peer.PeerReply
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Peer messenger over TCP. [bind] opens the listener, and [start] accepts and opens links in the given scope.
 *
 * Links to neighbours stay open and are redialed with jittered backoff. A call to any other known router dials on demand.
 *
 * @param secret called for each handshake, so that the secret may become available after this messenger has been created.
 * @param tls null disables TLS; only the handshake then authenticates the peer.
 */
class DefaultPeerMessenger(
    override val self: RouterIdentity,
    secret: () -> PeerSecret,
    private val log: EventLog,
    private val settings: PeerLinkSettings = PeerLinkSettings(),
    tls: ReloadingTlsContext? = null,
    private val random: Random = Random.Default,
) : PeerMessenger,
    StateDumpSource {
    private val transport = if (tls == null) PlainTransport() else TlsTransport(tls)
    private val handshake = Handshake(self, secret)
    private val links = LinkTable(self)
    private val handlers = ConcurrentHashMap<PeerChannel, PeerHandler>()
    private val endpoints = ConcurrentHashMap<RouterId, PeerEndpoint>()
    private val neighbourJobs = mutableMapOf<RouterId, Job>()
    private val dialLocks = ConcurrentHashMap<RouterId, Mutex>()
    private val pendingHandshakes = PendingHandshakes(settings.maxPendingHandshakes)
    private val isStarted = CompletableDeferred<Unit>()
    private val selectorThread = createSelectorThread("peer-selector")
    private val selector = SelectorManager(selectorThread)
    private lateinit var scope: CoroutineScope

    /** Bytes sent and received over all links. */
    val traffic: LinkTraffic = LinkTraffic()

    override val name: String = "peer_links"

    /**
     * Opens the listener on [host]:[port], which is closed with [scope], and returns its port. Port 0 binds a free port. Connections wait
     * until [start] is called. Throws [java.io.IOException] if the address cannot be bound.
     */
    suspend fun bind(
        scope: CoroutineScope,
        host: String,
        port: Int,
    ): Int {
        this.scope = scope
        val server = aSocket(selector).tcp().bind(InetSocketAddress(host, port)) { reuseAddress = true }
        scope
            .launch {
                isStarted.await()
                // Starts at once, so that connections count in the order in which they were accepted.
                acceptAll(log, server::accept) { socket -> scope.launch(start = CoroutineStart.UNDISPATCHED) { acceptLink(socket) } }
            }.invokeOnCompletion {
                server.close()
                links.all().forEach { it.close() }
                selector.close()
                selectorThread.close()
            }
        return (server.localAddress as InetSocketAddress).port
    }

    /** Accepts connections of other routers and starts the background work, in the scope that [bind] was given. */
    fun start() {
        scope.launch { closeUnusedLinks() }
        scope.launch { checkLinks() }
        isStarted.complete(Unit)
    }

    /**
     * Sets the routers that can be called and those to which a link is kept open.
     *
     * @param known all routers that may be called, from the newest list.
     * @param neighbours routers in [known] to which a link is kept open.
     */
    @Synchronized
    fun setPeers(
        known: Collection<PeerEndpoint>,
        neighbours: Set<RouterId>,
    ) {
        val byId = known.filter { it.routerId != self.routerId }.associateBy { it.routerId }
        endpoints.keys.retainAll(byId.keys)
        endpoints.putAll(byId)
        val reachableNeighbours = neighbours intersect byId.keys
        (neighbourJobs.keys - reachableNeighbours).forEach { neighbourJobs.remove(it)?.cancel() }
        for (routerId in reachableNeighbours - neighbourJobs.keys) neighbourJobs[routerId] = scope.launch { maintainLink(routerId) }
    }

    override fun connectedPeers(): List<RouterIdentity> = links.all().map { it.peer }

    override suspend fun call(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
        timeoutMs: Long,
    ): PeerReply {
        val startedMs = System.nanoTime() / NANOS_PER_MS
        val link = links.find(to) ?: withTimeoutOrNull(timeoutMs) { dialOnDemand(to) } ?: return PeerReply.NotDelivered
        val remainingMs = timeoutMs - (System.nanoTime() / NANOS_PER_MS - startedMs)
        return if (remainingMs <= 0) PeerReply.NotDelivered else link.call(channel, payload, remainingMs)
    }

    override fun send(
        to: RouterId,
        channel: PeerChannel,
        payload: ByteArray,
    ): Boolean = links.find(to)?.send(channel, payload) ?: false

    override fun register(
        channel: PeerChannel,
        handler: PeerHandler,
    ) {
        check(handlers.putIfAbsent(channel, handler) == null) { "channel ${channel.value} has a handler" }
    }

    override fun dumpState(): JsonObject =
        buildJsonObject {
            put("sent_bytes", traffic.sentBytes)
            put("received_bytes", traffic.receivedBytes)
            put("known_peers", endpoints.size)
            putJsonArray("links") {
                for (link in links.all()) {
                    addJsonObject {
                        put("router_id", link.peer.routerId.value)
                        put("vm_id", link.peer.vmId.value)
                        put("incarnation", link.peer.incarnation)
                        put("dialed_here", link.isOutbound)
                        put("queued_bytes", link.queuedFrameBytes)
                        put("pending_calls", link.pendingCalls)
                    }
                }
            }
        }

    private suspend fun acceptLink(socket: Socket) {
        val job = currentCoroutineContext().job
        // Not the socket: if it is closed while its channels are opened, it keeps its descriptor.
        val connection =
            AutoCloseable {
                logRefusal(socket, isClient = false, TOO_MANY_PENDING)
                job.cancel(TOO_MANY_PENDING)
            }
        pendingHandshakes.add(connection)
        val link =
            try {
                openLink(socket, isClient = false) { frames ->
                    val peer = handshake.accept(frames) { pendingHandshakes.onProgress(connection) }
                    val link = newLink(peer, isOutbound = false, frames)
                    val added =
                        links.add(link) as? AddOutcome.Added ?: throw LinkFailure("another link to ${peer.routerId.value} is preferred")
                    sendReady(link, frames)
                    added.replaced?.let { closeAfterGracePeriod(it) }
                    link
                }
            } finally {
                pendingHandshakes.remove(connection)
            }
        if (link != null) runLink(link)
    }

    private suspend fun dial(endpoint: PeerEndpoint): PeerLink? {
        val socket =
            try {
                withTimeout(
                    settings.handshakeTimeoutMs,
                ) { aSocket(selector).tcp().connect(endpoint.host, endpoint.port) { noDelay = true } }
            } catch (failure: Exception) {
                rethrowIfCancelled(failure)
                return null
            }
        val link =
            openLink(socket, isClient = true) { frames ->
                val peer = handshake.dial(frames, endpoint)
                handshake.awaitReady(frames)
                newLink(peer, isOutbound = true, frames)
            } ?: return null
        when (val outcome = links.add(link)) {
            is AddOutcome.Added -> outcome.replaced?.let { closeAfterGracePeriod(it) }
            // The peer may already be using this link and may have sent calls over it.
            is AddOutcome.ExistingPreferred -> closeAfterGracePeriod(link)
            is AddOutcome.Rejected -> {
                link.close()
                return null
            }
        }
        scope.launch { runLink(link) }
        return links.find(endpoint.routerId)
    }

    /** Closes [link] after a delay that lets calls in progress on either side complete. */
    private fun closeAfterGracePeriod(link: PeerLink) {
        scope.launch {
            delay(settings.replacedLinkGraceMs)
            link.close()
        }
    }

    private suspend fun sendReady(
        link: PeerLink,
        frames: FrameStream,
    ) {
        var sent = false
        try {
            frames.writeAndFlush(WireFrame.Ready)
            sent = true
        } finally {
            if (!sent) links.remove(link)
        }
    }

    private suspend fun openLink(
        socket: Socket,
        isClient: Boolean,
        authenticate: suspend (FrameStream) -> PeerLink,
    ): PeerLink? =
        try {
            withTimeout(settings.handshakeTimeoutMs) { authenticate(FrameStream(transport.open(socket, isClient), traffic)) }
        } catch (failure: Exception) {
            socket.close()
            rethrowIfCancelled(failure)
            logRefusal(socket, isClient, failure.message)
            null
        }

    private fun logRefusal(
        socket: Socket,
        isClient: Boolean,
        reason: String?,
    ) = log.info("peer_link_refused", "remote" to remoteAddressOf(socket), "dialed" to isClient, "reason" to reason)

    private fun newLink(
        peer: RouterIdentity,
        isOutbound: Boolean,
        frames: FrameStream,
    ) = PeerLink(peer, isOutbound, frames, settings, handlers, log)

    private suspend fun runLink(link: PeerLink) {
        log.info("peer_link_opened", "peer" to link.peer.routerId.value, "dialed" to link.isOutbound)
        val reason =
            try {
                link.run()
            } finally {
                links.remove(link)
            }
        log.info("peer_link_closed", "peer" to link.peer.routerId.value, "reason" to reason)
    }

    private suspend fun dialOnDemand(to: RouterId): PeerLink? {
        val endpoint = endpoints[to] ?: return null
        return dialLocks.getOrPut(to) { Mutex() }.withLock { links.find(to) ?: dial(endpoint) ?: links.find(to) }
    }

    private suspend fun maintainLink(routerId: RouterId) {
        // The router with the larger id lets the other one dial first, so that both rarely dial at the same time.
        if (self.routerId.value > routerId.value) delay(settings.initialRetryDelayMs + random.nextLong(settings.initialRetryDelayMs))
        var retryDelayMs = settings.initialRetryDelayMs
        while (true) {
            val link = dialOnDemand(routerId)
            if (link != null) {
                link.awaitClosed()
                retryDelayMs = settings.initialRetryDelayMs
            } else {
                retryDelayMs = minOf(retryDelayMs * 2, settings.maxRetryDelayMs)
            }
            delay(retryDelayMs / 2 + random.nextLong(retryDelayMs / 2 + 1))
        }
    }

    private suspend fun checkLinks() {
        while (scope.isActive) {
            delay(settings.keepAliveIntervalMs)
            links.all().forEach { it.checkLiveness() }
        }
    }

    private suspend fun closeUnusedLinks() {
        while (scope.isActive) {
            delay(settings.unusedLinkTimeoutMs)
            val neighbours = synchronized(this) { neighbourJobs.keys.toSet() }
            links.all().filter { it.isOutbound && it.peer.routerId !in neighbours && !it.checkAndClearUsed() }.forEach { it.close() }
        }
    }

    private fun remoteAddressOf(socket: Socket): String = runCatching { socket.remoteAddress.toString() }.getOrDefault("closed")

    private suspend fun rethrowIfCancelled(failure: Exception) {
        if (failure is CancellationException && !currentCoroutineContext().isActive) throw failure
    }

    private companion object {
        private const val TOO_MANY_PENDING = "too many connections without a proof"
        private const val NANOS_PER_MS = 1_000_000L
    }
}
