package org.cicadaturn.tasks.gateway

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.WithheldEndpoint
import org.cicadaturn.decisions.ratelimit.EndpointLimitStatus
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.SegmentStatus
import org.cicadaturn.tasks.http.HttpLink
import org.cicadaturn.tasks.http.ResponseHead
import org.cicadaturn.tasks.http.receiveInternalRequest
import org.cicadaturn.tasks.http.sendInternalAnswer
import java.io.ByteArrayOutputStream

/** Serves health, readiness, metrics and the state dump of a gateway process. */
internal class GatewayAdmin(
    private val registry: PrometheusRegistry,
    private val isReady: () -> Boolean,
    private val state: () -> FleetState,
    private val segments: suspend () -> List<SegmentStatus>,
    private val balancer: Balancer,
    private val notices: NoticeMetrics,
) {
    /** Answers the requests on [link] until the connection ends. */
    suspend fun serve(link: HttpLink) {
        while (true) {
            val request = link.receiveInternalRequest()?.head ?: return
            val (status, type, body) = answerTo(request.path)
            val head = ResponseHead(status, listOf(Header("Content-Type", type)), request.closesConnection)
            if (!link.sendInternalAnswer(head, body) || request.closesConnection) return
        }
    }

    private suspend fun answerTo(path: String): Triple<Int, String, ByteArray> =
        when (path) {
            "/healthz" -> Triple(OK, TEXT, "ok\n".encodeToByteArray())
            "/readyz" ->
                if (isReady()) {
                    Triple(OK, TEXT, "ready\n".encodeToByteArray())
                } else {
                    Triple(UNAVAILABLE, TEXT, "not ready\n".encodeToByteArray())
                }
            "/metrics" -> Triple(OK, PrometheusTextFormatWriter.CONTENT_TYPE, scrape())
            "/dump" -> Triple(OK, "application/json", dump())
            else -> Triple(NOT_FOUND, TEXT, "use /healthz, /readyz, /metrics or /dump\n".encodeToByteArray())
        }

    private suspend fun scrape(): ByteArray {
        // A pause ends without a message, so the endpoints are counted when they are asked for.
        notices.withheld(balancer.notices.withheld())
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }

    /**
     * Returns the fleet view as JSON, without the keys of organisations, suspected prompt segments, limits of endpoints, and
     * endpoints that get no requests.
     */
    private suspend fun dump(): ByteArray {
        val segments = segments()
        val limits = balancer.limits.status()
        val withheldNow = balancer.notices.withheld()
        // Nothing below waits, so only one document is under construction, which takes many times its size.
        val view = state().view
        val tenancies = view.configuration?.tenancies?.map { it.copy(keys = emptyList()) }
        val shown = view.copy(configuration = view.configuration?.copy(tenancies = tenancies))
        val fleet = Json.encodeToJsonElement(FleetView.serializer(), shown).jsonObject
        val suspected = Json.encodeToJsonElement(ListSerializer(SegmentStatus.serializer()), segments)
        val limited = JsonArray(limits.map { jsonOf(it) })
        val withheld = JsonArray(withheldNow.map { jsonOf(it) })
        val added = mapOf("suspectedSegments" to suspected, "endpointLimits" to limited, "withheld" to withheld)
        return JsonObject(fleet + added).toString().encodeToByteArray()
    }

    private fun jsonOf(status: EndpointLimitStatus): JsonObject =
        buildJsonObject {
            put("endpoint", status.endpoint.text)
            put("perSecond", status.perSecond)
            put("ownPerSecond", status.ownPerSecond)
            put("sentInFourSeconds", status.recentlySent)
            put("confirmedMsAgo", status.confirmedBefore.inWholeMilliseconds)
        }

    private fun jsonOf(withheld: WithheldEndpoint): JsonObject =
        buildJsonObject {
            put("endpoint", withheld.endpoint.text)
            put("reason", withheld.reason.text)
            put("remainingMs", withheld.remaining?.inWholeMilliseconds)
            withheld.departure?.let { put("source", it.source.text) }
        }

    private companion object {
        const val TEXT = "text/plain; charset=utf-8"
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
    }
}
