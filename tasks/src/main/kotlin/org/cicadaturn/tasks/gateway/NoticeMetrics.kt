package org.cicadaturn.tasks.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.LeavingNotice
import org.cicadaturn.decisions.gateway.PauseNotice
import org.cicadaturn.decisions.gateway.Unavailability
import org.cicadaturn.decisions.gateway.WithheldEndpoint
import org.cicadaturn.decisions.gateway.WithholdReason
import org.cicadaturn.schema.generated.ServiceId

/** Metrics of endpoints that take no further requests, for good or for a time. */
internal class NoticeMetrics(
    registry: PrometheusRegistry,
) {
    private val withheld =
        Gauge
            .builder()
            .name("cicadaturn_gateway_endpoints_withheld")
            .help("Endpoints that get no requests now, by reason.")
            .labelNames("reason")
            .register(registry)

    private val notices =
        Counter
            .builder()
            .name("cicadaturn_gateway_endpoint_notices")
            .help("Answers that announce the end of their endpoint, ask for a pause, or state either unreadably.")
            .labelNames("kind")
            .register(registry)

    private val requests =
        Counter
            .builder()
            .name("cicadaturn_gateway_withheld_requests")
            .help("Requests that found only endpoints that leave or pause, by service, cause and what was done.")
            .labelNames("service", "cause", "action")
            .register(registry)

    /** Records which endpoints get no requests. */
    fun withheld(endpoints: List<WithheldEndpoint>) {
        val counts = endpoints.groupingBy { it.reason }.eachCount()
        WithholdReason.entries.forEach { withheld.labelValues(it.name.lowercase()).set((counts[it] ?: 0).toDouble()) }
    }

    /** Records what an answer says. */
    fun noticed(notice: EndpointNotice) {
        when (notice.leaving) {
            LeavingNotice.Announced -> notices.labelValues("leaving").inc()
            is LeavingNotice.Unreadable -> notices.labelValues("unreadable").inc()
            LeavingNotice.None -> Unit
        }
        when (notice.pause) {
            is PauseNotice.Requested -> notices.labelValues("pause").inc()
            is PauseNotice.Unreadable -> notices.labelValues("unreadable").inc()
            PauseNotice.None -> Unit
        }
    }

    /** Records that a request to [service] found no endpoint because of [cause]. */
    fun held(
        service: ServiceId,
        cause: Unavailability,
        action: LimitAction,
    ) = requests.labelValues(service.text, cause.name.lowercase(), action.name.lowercase()).inc()
}
