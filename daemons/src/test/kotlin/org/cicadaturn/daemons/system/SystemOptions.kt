package org.cicadaturn.daemons.system

import org.cicadaturn.schema.generated.EndpointFile
import org.cicadaturn.schema.generated.EndpointSettings
import org.cicadaturn.schema.generated.EntryFile
import org.cicadaturn.schema.generated.EntrySettings
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessSettings
import org.cicadaturn.schema.generated.StoreSettings
import org.cicadaturn.schema.generated.WireSettings
import org.cicadaturn.standins.engine.BatchSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal const val DRAFTS = "drafts"
internal const val ORDERS = "orders"
internal const val MODEL = "draft"
internal const val BEARER_KEY = "key-of-the-organisation"
internal const val WIRE_KEY = "wire-key-of-the-system-tests"

/** Loopback address on which the operating system chooses a free port. */
internal val ANY_PORT = NetworkAddress("127.0.0.1", 0)

/** Settings of a fast engine that is never cold. */
internal val WARM_BATCH =
    BatchSettings(
        baseStep = 1.milliseconds,
        stepPerRequest = Duration.ZERO,
        prefillPerToken = 1.microseconds,
        warmAfter = 0,
    )

/** Back end of an endpoint process. */
internal sealed interface Backend {
    val service: String

    data class Engine(
        val batch: BatchSettings = WARM_BATCH,
    ) : Backend {
        override val service = DRAFTS
    }

    data object Orders : Backend {
        override val service = ORDERS
    }

    /** Back end that runs outside of the system and serves [service]. */
    data class Scripted(
        override val service: String,
        val address: NetworkAddress,
    ) : Backend
}

/** Options of an endpoint process. */
internal data class EndpointOptions(
    val id: String,
    val failureDomain: String,
    val backend: Backend,
    val warmBound: Int = 256,
    val coldBound: Int = 256,
    val coldStep: Int = 4,
    val queueWait: Duration = 10.seconds,
)

/** Options of an entry process; [peers] are identifiers of entry processes that precede it in the list. */
internal data class EntryOptions(
    val id: String,
    val failureDomain: String,
    val peers: List<String> = emptyList(),
)

/** Options of a test system. */
internal data class SystemOptions(
    val endpoints: List<EndpointOptions> =
        listOf(
            EndpointOptions("drafts-1", "fd-1", Backend.Engine()),
            EndpointOptions("drafts-2", "fd-2", Backend.Engine()),
            EndpointOptions("orders-1", "fd-1", Backend.Orders),
            EndpointOptions("orders-2", "fd-2", Backend.Orders),
        ),
    val entries: List<EntryOptions> =
        listOf(EntryOptions("entry-1", "fd-1"), EntryOptions("entry-2", "fd-2", listOf("entry-1"))),
    val stopTimeout: Duration = 20.seconds,
    val storeTimeout: Duration = 2.seconds,
    val slowReaderTimeout: Duration = 20.seconds,
    val streamStall: Duration = 5.seconds,
    val maxBody: Int = 65_536,
    val maxHeader: Int = 4_096,
)

private fun processSettings(
    options: SystemOptions,
    id: String,
    failureDomain: String,
): ProcessSettings =
    ProcessSettings(
        id = id,
        host = "host-$id",
        failureDomain = failureDomain,
        adminListen = ANY_PORT,
        logFormat = "text",
        logLevel = "warn",
        stopTimeout = options.stopTimeout,
    )

private val wireSettings =
    WireSettings(
        WIRE_KEY,
        connectTimeout = 2.seconds,
        keepaliveInterval = 200.milliseconds,
        keepaliveTimeout = 5.seconds,
    )

private fun storeSettings(
    options: SystemOptions,
    address: NetworkAddress,
): StoreSettings =
    StoreSettings(
        address,
        timeout = options.storeTimeout,
        watchWait = 1.seconds,
        maxSilence = 3.seconds,
        peerWait = 1.seconds,
    )

internal fun endpointFile(
    options: SystemOptions,
    endpoint: EndpointOptions,
    store: NetworkAddress,
    backend: NetworkAddress,
): EndpointFile =
    EndpointFile(
        process = processSettings(options, endpoint.id, endpoint.failureDomain),
        wire = wireSettings,
        store = storeSettings(options, store),
        endpoint =
            EndpointSettings(
                id = endpoint.id,
                service = endpoint.backend.service,
                listen = ANY_PORT,
                backend = backend,
                kind = if (endpoint.backend is Backend.Engine) "engine" else "plain",
                warmBound = endpoint.warmBound,
                coldBound = endpoint.coldBound,
                coldStep = endpoint.coldStep,
                queueWait = endpoint.queueWait,
                probeInterval = 50.milliseconds,
                reportInterval = 50.milliseconds,
            ),
    )

internal fun entryFile(
    options: SystemOptions,
    entry: EntryOptions,
    store: NetworkAddress,
    peers: List<NetworkAddress>,
): EntryFile =
    EntryFile(
        process = processSettings(options, entry.id, entry.failureDomain),
        wire = wireSettings,
        store = storeSettings(options, store),
        entry =
            EntrySettings(
                listen = ANY_PORT,
                peerListen = ANY_PORT,
                peers = peers,
                maxBody = options.maxBody,
                maxHeader = options.maxHeader,
                maxInFlight = 2_000,
                maxAttempts = 3,
                retryShare = 10,
                queueWait = 1.seconds,
                streamStall = options.streamStall,
                slowReaderTimeout = options.slowReaderTimeout,
            ),
    )
