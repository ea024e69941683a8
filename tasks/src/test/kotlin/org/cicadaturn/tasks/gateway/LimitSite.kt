package org.cicadaturn.tasks.gateway

import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReferenceArray
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Gateways on loopback that know each other as peers, in front of [endpoints].
 *
 * @param canReach returns false if the gateway with the first index cannot reach the one with the second
 */
internal class LimitSite(
    private val endpoints: List<TestEndpoint>,
    count: Int,
    private val canReach: (Int, Int) -> Boolean = { _, _ -> true },
) : AutoCloseable {
    /** Answer of a gateway to a caller; [after] is the time since the start of the site. */
    class Answered(
        val gateway: Int,
        val status: Int,
        val retryAfter: Duration?,
        val after: Duration,
        val time: Duration,
    )

    private val start = TimeSource.Monotonic.markNow()

    /** Accepts connections of gateways that cannot reach each other, and never answers. */
    private val silent = ServerSocket(0, SILENT_BACKLOG)
    private val ports = freePorts(count)
    private val gateways = AtomicReferenceArray<TestGateway?>(count)
    private val sender = Executors.newScheduledThreadPool(SENDERS) { run -> Thread(run).apply { isDaemon = true } }
    private val lastId = AtomicInteger()
    val answers = ConcurrentLinkedQueue<Answered>()

    init {
        repeat(count) { startGateway(it) }
    }

    /** Starts the gateway with [index], which has none of the knowledge of its predecessor. */
    fun startGateway(index: Int) {
        val peers =
            ports.indices.map { other ->
                val port = if (other == index || canReach(index, other)) ports[other] else silent.localPort
                GatewayPeer(ProcessId("g$other"), NetworkAddress("127.0.0.1", port), FailureDomainId("a"))
            }
        val random = Random(index)
        gateways.set(
            index,
            TestGateway(endpoints, random = random, id = "g$index", peerPort = ports[index], peers = peers),
        )
    }

    /** Ends the gateway with [index] as a kill does. */
    fun killGateway(index: Int) {
        gateways.getAndSet(index, null)?.close()
    }

    /** Sends [perSecond] requests to [path] through the gateway with [index] for [time]; returns at once. */
    fun send(
        index: Int,
        perSecond: Int,
        time: Duration,
        path: String = "/patient/x",
    ) {
        repeat((perSecond * time.inWholeMilliseconds / MILLIS_PER_SECOND).toInt()) { i ->
            val delay = (i * NANOS_PER_SECOND / perSecond)
            sender.schedule({ sendOne(index, path) }, delay, TimeUnit.NANOSECONDS)
        }
    }

    /** Sends one request and returns the answer, or null if the gateway does not answer. */
    fun sendOne(
        index: Int,
        path: String = "/patient/x",
    ): Answered? {
        val sent = TimeSource.Monotonic.markNow()
        val bytes = request(path, "Connection: close\r\n", id = "r${lastId.incrementAndGet()}")
        val gateway = gateways.get(index) ?: return null
        val received = runCatching { exchange(gateway.port, bytes) }.getOrNull() ?: return null
        // A kill cuts the requests in progress.
        if (received.status == 0 && gateways.get(index) !== gateway) return null
        val retryAfter = headerIn(received.head, "Retry-After")?.toDouble()?.seconds
        return Answered(index, received.status, retryAfter, sent - start, sent.elapsedNow()).also { answers += it }
    }

    /** Sends one request, and again at the time that each refusal states; returns the number of refusals. */
    fun returnUntilServed(index: Int): Int {
        repeat(MAX_RETURNS) { refusals ->
            val answered = sendOne(index, "/once/x") ?: return MAX_RETURNS
            if (answered.status == OK) return refusals
            TimeUnit.MILLISECONDS.sleep(answered.retryAfter?.inWholeMilliseconds ?: return MAX_RETURNS)
        }
        return MAX_RETURNS
    }

    override fun close() {
        sender.shutdownNow()
        ports.indices.forEach { gateways.get(it)?.close() }
        silent.close()
    }

    private companion object {
        const val MAX_RETURNS = 10
        const val OK = 200
        const val SENDERS = 32
        const val SILENT_BACKLOG = 4_096
        const val MILLIS_PER_SECOND = 1_000
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}

/**
 * Returns [count] ports of this host that were free a moment ago. They are below those that the system gives to outgoing
 * connections, as one of these could take a port before a gateway listens on it, or between its end and its next start.
 */
internal fun freePorts(count: Int): List<Int> =
    generateSequence { Random.nextInt(FIRST_PORT, LAST_PORT) }
        .distinct()
        .filter(::isFree)
        .take(count)
        .toList()

private fun isFree(port: Int): Boolean =
    try {
        ServerSocket(port).close()
        true
    } catch (e: IOException) {
        false
    }

private const val FIRST_PORT = 12_000
private const val LAST_PORT = 32_000
