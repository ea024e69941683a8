package org.cicadaturn.tasks.observe

import io.netty.handler.codec.http.QueryStringDecoder
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.connection.ConnectionLimits
import org.cicadaturn.decisions.connection.ConnectionUse
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.http.ConnectionLoss
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.HttpRuntime
import org.cicadaturn.tasks.http.ListenerBounds
import org.cicadaturn.tasks.http.RequestHead
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.ServerBounds
import org.cicadaturn.tasks.http.ServerHandler
import org.cicadaturn.tasks.http.connectionAccounts
import org.cicadaturn.tasks.http.sendInternalAnswer
import org.cicadaturn.tasks.http.startServer
import org.cicadaturn.tasks.http.valueOf
import org.cicadaturn.tasks.listen.Listener
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.seconds

/**
 * Content that an admin server provides.
 *
 * @property isReady returns false while the process should get no new callers
 * @property dump returns the state dump as JSON
 * @property registry registry of the metrics to export
 */
internal class AdminContent(
    val isReady: () -> Boolean,
    val dump: suspend () -> String,
    val registry: PrometheusRegistry,
)

/**
 * Call of an operator.
 *
 * @property segment decoded segment of the path in place of the `*` of its route, or an empty text
 * @property query first value of each parameter of the query
 * @property body body of the request; what follows [MAX_ADMIN_BODY_BYTES] is dropped, but at least one byte of it is kept
 */
internal class AdminCall(
    val headers: List<Header>,
    val segment: String,
    val query: Map<String, String>,
    val body: ByteArray,
)

/** Answer of an admin server. */
internal class AdminAnswer(
    val status: Int,
    val contentType: String?,
    val body: ByteArray,
)

/**
 * Route of an admin server.
 *
 * @property path path of the requests, of which one segment may be `*` for any text
 * @property answer returns the answer to a call; runs on the event loop
 */
internal class AdminRoute(
    val method: String,
    val path: String,
    val answer: suspend (AdminCall) -> AdminAnswer,
)

/** Returns an answer with [json]. */
internal fun jsonAnswer(
    json: String,
    status: Int = OK,
): AdminAnswer = AdminAnswer(status, "application/json", json.encodeToByteArray())

/** Starts a server on [address] for health, readiness, metrics and the state dump, with additional [routes]. */
internal suspend fun adminServer(
    runtime: HttpRuntime,
    address: NetworkAddress,
    content: AdminContent,
    metrics: ConnectionMetrics,
    routes: List<AdminRoute>,
): Listener {
    val accounts = connectionAccounts(ADMIN_LIMITS) { metrics.lost("admin", it) }
    val listenerBounds = ListenerBounds({ HEAD_BYTES }, { WRITE_TIMEOUT }, accounts)
    val bounds = ServerBounds(listenerBounds, IDLE_TIMEOUT, REQUEST_TIMEOUT)
    val server = AdminServer(contentRoutes(content) + routes)
    return runtime.startServer(address, bounds, ServerHandler(server::serve, server::refuse))
}

private fun contentRoutes(content: AdminContent): List<AdminRoute> =
    listOf(
        AdminRoute("GET", "/healthz") { textAnswer("ok\n") },
        AdminRoute("GET", "/readyz") {
            if (content.isReady()) textAnswer("ready\n") else textAnswer("not ready\n", UNAVAILABLE)
        },
        AdminRoute("GET", "/metrics") {
            AdminAnswer(OK, PrometheusTextFormatWriter.CONTENT_TYPE, scrape(content.registry))
        },
        AdminRoute("GET", "/dump") { jsonAnswer(content.dump()) },
    )

private class AdminServer(
    private val routes: List<AdminRoute>,
) {
    suspend fun serve(
        link: HttpLink,
        head: RequestHead,
    ): Boolean {
        if (head.headers.valueOf("Expect") != null && !link.sendContinue()) return false
        val body = withTimeoutOrNull(REQUEST_TIMEOUT) { link.receiveBody() } ?: return false
        link.account?.use = ConnectionUse.SERVING
        val answer = answerTo(head, body)
        val headers = listOfNotNull(answer.contentType?.let { Header("Content-Type", it) })
        val isSent = link.sendInternalAnswer(ResponseHead(answer.status, headers, head.closesConnection), answer.body)
        return isSent && !head.closesConnection
    }

    suspend fun refuse(
        link: HttpLink,
        status: Int,
    ) {
        link.sendResponse(ResponseHead(status, emptyList(), closesConnection = true), ByteArray(0))
    }

    private suspend fun answerTo(
        head: RequestHead,
        body: ByteArray,
    ): AdminAnswer {
        val target = QueryStringDecoder(head.target)
        val segments =
            try {
                head.path.split('/').map { QueryStringDecoder.decodeComponent(it) }
            } catch (_: IllegalArgumentException) {
                return emptyAnswer(BAD_REQUEST)
            }
        val query =
            try {
                target.parameters().mapValues { it.value.first() }
            } catch (_: IllegalArgumentException) {
                return emptyAnswer(BAD_REQUEST)
            }
        val served = routes.filter { it.serves(segments) }
        if (served.isEmpty()) return emptyAnswer(NOT_FOUND)
        val route = served.firstOrNull { it.method == head.method } ?: return emptyAnswer(METHOD_NOT_ALLOWED)
        val position = route.path.split('/').indexOf(ANY_SEGMENT)
        return route.answer(AdminCall(head.headers, segments.getOrElse(position) { "" }, query, body))
    }

    private fun AdminRoute.serves(segments: List<String>): Boolean {
        val expected = path.split('/')
        return expected.size == segments.size &&
            expected.indices.all { expected[it] == segments[it] || (expected[it] == ANY_SEGMENT && segments[it] != "") }
    }

    /** Returns the body of a request, or null if it is incomplete or there is no memory for it. */
    private suspend fun HttpLink.receiveBody(): ByteArray? {
        val body = ByteArrayOutputStream()
        while (true) {
            when (val part = receive()) {
                HttpPart.End -> return body.toByteArray()
                is HttpPart.Data -> if (body.size() <= MAX_ADMIN_BODY_BYTES) body.write(part.bytes)
                else -> return null
            }
            if (account?.holdBody(body.size().toLong()) == false) {
                account?.lost(ConnectionLoss.NO_MEMORY)
                return null
            }
        }
    }
}

private fun textAnswer(
    text: String,
    status: Int = OK,
): AdminAnswer = AdminAnswer(status, "text/plain; charset=UTF-8", text.encodeToByteArray())

private fun emptyAnswer(status: Int): AdminAnswer = AdminAnswer(status, null, ByteArray(0))

private fun scrape(registry: PrometheusRegistry): ByteArray {
    val out = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(out, registry.scrape())
    return out.toByteArray()
}

/** Size up to which the body of an operator's call is kept, in bytes. */
internal const val MAX_ADMIN_BODY_BYTES: Int = 64 * 1024

/** Far more connections than probes, collectors of metrics and operators have; memory for their input and answers. */
private val ADMIN_LIMITS = ConnectionLimits(connections = 256, bytes = 6L * 1024 * 1024)
private const val HEAD_BYTES = 16_384

/** Time after which an idle connection is closed; metrics are usually collected each minute. */
private val IDLE_TIMEOUT = 90.seconds

/** Time for the head of a request, and for its body. */
private val REQUEST_TIMEOUT = 10.seconds

/** Longest time for which a client may read nothing of an answer. */
private val WRITE_TIMEOUT = 10.seconds
private const val ANY_SEGMENT = "*"
private const val OK = 200
private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
private const val METHOD_NOT_ALLOWED = 405
private const val UNAVAILABLE = 503
