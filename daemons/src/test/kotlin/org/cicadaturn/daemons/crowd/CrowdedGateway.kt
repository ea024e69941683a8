package org.cicadaturn.daemons.crowd

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.cicadaturn.daemons.site.BOUNDS
import org.cicadaturn.daemons.site.EndpointParts
import org.cicadaturn.daemons.site.GatewayAddresses
import org.cicadaturn.daemons.site.GatewayProcess
import org.cicadaturn.daemons.site.MACHINE_DESCRIPTORS
import org.cicadaturn.daemons.site.OK
import org.cicadaturn.daemons.site.ObjectKey
import org.cicadaturn.daemons.site.Roughness
import org.cicadaturn.daemons.site.SITE_HOST
import org.cicadaturn.daemons.site.SiteEndpoint
import org.cicadaturn.daemons.site.SiteJournal
import org.cicadaturn.daemons.site.StoreServer
import org.cicadaturn.daemons.site.ZONES
import org.cicadaturn.daemons.site.gatewayAddresses
import org.cicadaturn.daemons.site.keyOf
import org.cicadaturn.daemons.site.plainBehaviour
import org.cicadaturn.daemons.site.plainBodyOf
import org.cicadaturn.daemons.site.readHead
import org.cicadaturn.daemons.site.readWhole
import org.cicadaturn.daemons.site.shapeChoice
import org.cicadaturn.daemons.site.siteConfiguration
import org.cicadaturn.daemons.site.write
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Gateway process with the options of the deploy file, a store and two sound endpoints, on loopback.
 *
 * @param configuration content of the object config/main
 * @param descriptors number of descriptors that the process may open
 * @param faultyAnswer what an endpoint of the service of streams sends on each connection; null if there is none
 */
internal class CrowdedGateway(
    private val configuration: String = siteConfiguration(version = 1),
    private val faultyAnswer: CrowdScript? = null,
    descriptors: Int = MACHINE_DESCRIPTORS,
) : CrowdedProcess {
    override val directory: Path = CrowdCheck.emptyDirectory()
    private val dispatcher = Executors.newCachedThreadPool().asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val store = StoreServer(scope)
    val addresses: GatewayAddresses = gatewayAddresses(1).single()
    private val seeds = "127.0.0.1:${addresses.control}"
    private val gateway = GatewayProcess(addresses, directory, store.address, seeds, BOUNDS, descriptors)
    private val endOfJvm = Thread { gateway.kill() }

    override val isAlive: Boolean get() = gateway.isAlive
    override val exitCode: Int? get() = gateway.exitCode
    override val usage: ProcessUsage by lazy { ProcessUsage(gateway.pid) }

    override fun start() {
        Runtime.getRuntime().addShutdownHook(endOfJvm)
        store.start()
        runBlocking {
            val document = Json.parseToJsonElement(configuration)
            store.update { it.write(ObjectKey("config", "main"), document) }
        }
        faultyAnswer?.let { FaultyEndpoint(it, store, scope).start() }
        val journal = SiteJournal()
        repeat(ENDPOINTS) {
            val behaviour = plainBehaviour(Random(it), Roughness.of(0.0))
            val shapes = shapeChoice(0.0, Random(it))
            val parts = EndpointParts(it, "i-$it", ZONES[it], behaviour, Random(it), shapes)
            SiteEndpoint(parts, store, journal, scope).start()
        }
        gateway.start()
        check(awaitAnswer(START_LIMIT)) { "the gateway served no request within $START_LIMIT" }
    }

    override fun isServed(limit: Duration): Boolean = isServed(ordinaryRequest(), limit)

    /** Returns true if the process says that it is ready. */
    fun isReady(): Boolean = gateway.isReady()

    /** Returns true if a request with a body of [bytes] on a new connection gets the whole answer of an endpoint in [limit]. */
    fun isUploadServed(
        bytes: Int,
        limit: Duration,
    ): Boolean {
        val head = ordinaryRequest().decodeToString().replaceFirst("\r\n", "\r\nContent-Length: $bytes\r\n")
        return isServed(head.encodeToByteArray() + ByteArray(bytes), limit)
    }

    private fun isServed(
        request: ByteArray,
        limit: Duration,
    ): Boolean =
        try {
            Socket().use { socket ->
                socket.connect(InetSocketAddress("127.0.0.1", addresses.front), limit.inWholeMilliseconds.toInt())
                socket.soTimeout = limit.inWholeMilliseconds.toInt()
                isServedOn(socket, request)
            }
        } catch (_: IOException) {
            false
        }

    /** Returns true if [request] on [socket] gets the whole answer of an endpoint. */
    fun isServedOn(
        socket: Socket,
        request: ByteArray = ordinaryRequest(),
    ): Boolean {
        socket.getOutputStream().write(request)
        val input = socket.getInputStream()
        val head = input.readHead() ?: return false
        val body = input.readWhole(head["Content-Length"]?.toInt() ?: 0).decodeToString()
        return head.start.split(' ')[1] == "$OK" && body == plainBodyOf(ORDINARY_PATH)
    }

    override fun close() {
        gateway.kill()
        Runtime.getRuntime().removeShutdownHook(endOfJvm)
        scope.cancel()
        dispatcher.close()
    }

    private companion object {
        const val ENDPOINTS = 2
        val START_LIMIT = 60.seconds
    }
}

/** Path of the route whose requests are `safe`. */
internal const val ORDINARY_PATH = "/status-read/1"

/** Returns a request that the configuration of the site admits, whose answer has 800 bytes. */
internal fun ordinaryRequest(): ByteArray =
    (
        "GET $ORDINARY_PATH HTTP/1.1\r\nHost: $SITE_HOST\r\nCicadaturn-Request-Id: r${Random.nextInt(1 shl 30)}\r\n" +
            "Cicadaturn-Deadline-Ms: 1000\r\nAuthorization: Bearer ${keyOf(1)}\r\n\r\n"
    ).encodeToByteArray()
