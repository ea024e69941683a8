package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.gateway.Admission
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.RouteTable
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.Route
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.valueOf
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Complete request of a caller.
 *
 * @property arrivedAt time at which the head of the request was received
 */
internal class CallerRequest(
    val head: RequestHead,
    val body: ByteArray,
    val arrivedAt: Instant,
)

/**
 * Dependencies of the handling of requests.
 *
 * @property routes returns the route table of the current configuration, or null if none is known
 * @property times times of earlier requests, which tell how long the next ones may take
 * @property eventNumbers how endpoints number the events of streams
 */
internal class RequestDependencies(
    val fleet: StateFlow<FleetState>,
    val routes: () -> RouteTable?,
    val balancer: Balancer,
    val exchange: Exchange,
    val quarantine: Quarantine,
    val metrics: QuarantineMetrics,
    val dialect: GatewayDialect,
    val clock: Clock,
    val random: Random,
    val journal: RequestJournal,
    val shutdown: Shutdown,
    val times: RequestTimeRecord,
    val eventNumbers: EventNumberRecord,
)

/** Handles requests: admission, choice of endpoints, attempts and the answer. */
internal class RequestHandler(
    private val dependencies: RequestDependencies,
) {
    private val fleet = dependencies.fleet
    private val dialect = dependencies.dialect

    /** Runs [request], sends [answer] and keeps [progress] up to date. */
    suspend fun handle(
        request: CallerRequest,
        answer: CallerAnswer,
        progress: RequestProgress,
    ): RequestEnd {
        if (!awaitFleet()) return answer.refuse(DEFAULT_RETRY_DELAY, "no configuration yet")
        val table = dependencies.routes() ?: return answer.refuse(DEFAULT_RETRY_DELAY, "no configuration yet")
        val head = request.head
        val admission = table.admit(head.headers.valueOf("Host").orEmpty(), head.path, keyOf(head))
        if (admission !is Admission.Admitted) return deny(admission, answer)
        val service =
            chooseService(admission.route)
                ?: return answer.sendError(BAD_GATEWAY, "the route has no service", emptyList())
        progress.service = service
        return RequestExecution(request, admission, service, answer, progress, dependencies).run()
    }

    /**
     * Waits until the fleet is known and returns true, or returns false if that takes too long.
     *
     * The store is read within a fraction of a second of the start, which is less than a caller takes to come back.
     */
    private suspend fun awaitFleet(): Boolean =
        fleet.value.isKnown || withTimeoutOrNull(MAX_START_WAIT) { fleet.first { it.isKnown } } != null

    private fun keyOf(head: RequestHead): String? {
        val value = head.headers.valueOf("Authorization") ?: return null
        val scheme = value.substringBefore(' ')
        if (!scheme.equals(dialect.keyScheme, ignoreCase = true)) return null
        return value.substringAfter(' ', "").trim().ifEmpty { null }
    }

    /**
     * Refuses a request that was not admitted. A configuration that may be outdated may lack the route or the key, so
     * the answer then asks for a retry.
     */
    private suspend fun deny(
        admission: Admission,
        answer: CallerAnswer,
    ): RequestEnd {
        if (!fleet.value.isConfigurationCurrent) {
            return answer.refuse(
                DEFAULT_RETRY_DELAY,
                "configuration may be old",
            )
        }
        if (admission == Admission.UnknownRoute) return answer.sendError(NOT_FOUND, "no route", emptyList())
        return answer.sendError(UNAUTHORIZED, "unknown key", listOf(Header("WWW-Authenticate", dialect.keyScheme)))
    }

    /** Returns a service of [route], chosen by the weights of its shares, or null if it has none with a weight. */
    private fun chooseService(route: Route): ServiceId? {
        val total = route.shares.sumOf { it.weight }
        if (total <= 0) return null
        val draw = dependencies.random.nextInt(total)
        val sums = route.shares.runningFold(0) { sum, share -> sum + share.weight }.drop(1)
        return route.shares[sums.indexOfFirst { draw < it }].service
    }

    private companion object {
        /** Longest wait of a request for the first read of the store. */
        val MAX_START_WAIT = 700.milliseconds
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
    }
}

/** Delay stated in Retry-After if it cannot be derived from the time left. */
internal val DEFAULT_RETRY_DELAY = 500.milliseconds
internal const val BAD_GATEWAY = 502
