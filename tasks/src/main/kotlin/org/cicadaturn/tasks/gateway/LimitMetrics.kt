package org.cicadaturn.tasks.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cicadaturn.decisions.ratelimit.EndpointLimitStatus
import org.cicadaturn.schema.generated.ServiceId

/** Metrics of the limits that endpoints name. */
internal class LimitMetrics(
    registry: PrometheusRegistry,
) {
    private val limits =
        Gauge
            .builder()
            .name("cicadaturn_gateway_endpoint_limits")
            .help("Endpoints whose limit is in force.")
            .register(registry)

    private val named =
        Gauge
            .builder()
            .name("cicadaturn_gateway_endpoint_limits_per_second")
            .help("Sum of the limits in force, in requests per second of all gateways.")
            .register(registry)

    private val own =
        Gauge
            .builder()
            .name("cicadaturn_gateway_endpoint_limits_own_per_second")
            .help("Sum of this process's shares of the limits in force, in requests per second.")
            .register(registry)

    private val requests =
        Counter
            .builder()
            .name("cicadaturn_gateway_endpoint_limit_requests")
            .help(
                "Requests that found only endpoints at their limits, by service and what was done: waited or refused.",
            ).labelNames("service", "action")
            .register(registry)

    private val messages =
        Counter
            .builder()
            .name("cicadaturn_gateway_limit_messages")
            .help("Messages about limits between gateways: sent, unanswered, received or dropped.")
            .labelNames("event")
            .register(registry)

    /** Records the limits in force. */
    fun limits(status: List<EndpointLimitStatus>) {
        limits.set(status.size.toDouble())
        named.set(status.sumOf { it.perSecond })
        own.set(status.sumOf { it.ownPerSecond })
    }

    /** Records that a request to [service] found only endpoints at their limits. */
    fun held(
        service: ServiceId,
        action: LimitAction,
    ) = requests.labelValues(service.text, action.name.lowercase()).inc()

    /** Records a message to or from another process. */
    fun message(event: LimitMessageEvent) = messages.labelValues(event.name.lowercase()).inc()
}

/** What was done with a request that found only endpoints at their limits. */
public enum class LimitAction {
    /** It waits for an endpoint. */
    WAITED,

    /** It was refused. */
    REFUSED,
}

/** What happened to a message about limits. */
internal enum class LimitMessageEvent {
    SENT,
    UNANSWERED,
    RECEIVED,

    /** Too many messages waited for this process to handle them. */
    DROPPED,
}
