package org.cicadaturn.tasks.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Request counters and latencies of a gateway process. */
internal class GatewayMetrics(
    registry: PrometheusRegistry,
) {
    private val requests =
        Counter
            .builder()
            .name("cicadaturn_gateway_requests")
            .help("Requests by service and status; status 0 if the caller left.")
            .labelNames("service", "status")
            .register(registry)

    private val duration =
        Histogram
            .builder()
            .name("cicadaturn_gateway_request_seconds")
            .help("Time from arrival to the end of the answer.")
            .classicOnly()
            .labelNames("service")
            .register(registry)

    /** Records a request that ended with [end] after [time]. */
    fun ended(
        end: RequestEnd,
        time: Duration,
    ) {
        val service = end.service?.text.orEmpty()
        requests.labelValues(service, end.status.toString()).inc()
        duration.labelValues(service).observe(time.toDouble(DurationUnit.SECONDS))
    }
}
