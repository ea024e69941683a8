package org.cicadaturn.tasks.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cicadaturn.decisions.quarantine.SuspicionView
import org.cicadaturn.schema.generated.SegmentState
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of the quarantine of prompt segments. */
internal class QuarantineMetrics(
    registry: PrometheusRegistry,
) {
    private val crashes =
        Counter
            .builder()
            .name("cicadaturn_gateway_endpoint_crashes")
            .help("Crashes of endpoints with prompts of this process, by service.")
            .labelNames("service")
            .register(registry)

    private val segments =
        Gauge
            .builder()
            .name("cicadaturn_gateway_quarantine_segments")
            .help("Prompt segments by state.")
            .labelNames("state")
            .register(registry)

    private val requests =
        Counter
            .builder()
            .name("cicadaturn_gateway_quarantine_requests")
            .help("Requests with suspected segments, by service and what was done: sent, waited or held back.")
            .labelNames("service", "action")
            .register(registry)

    /** Records a crash of an endpoint of [service]. */
    fun crashed(service: ServiceId) = crashes.labelValues(service.text).inc()

    /** Records the current suspicions. */
    fun suspicions(view: SuspicionView) {
        val counts = view.suspicions.groupingBy { it.state }.eachCount()
        SegmentState.entries.forEach { state ->
            segments.labelValues(state.name.lowercase()).set((counts[state] ?: 0).toDouble())
        }
    }

    /** Records what was done with a request to [service] that has suspected segments. */
    fun judged(
        service: ServiceId,
        action: QuarantineAction,
    ) = requests.labelValues(service.text, action.name.lowercase()).inc()
}

/** What was done with a request that has suspected segments. */
internal enum class QuarantineAction {
    /** It was sent as a trial. */
    SENT,

    /** It was refused, as another trial was in progress for too long. */
    WAITED,

    /** It was refused, as it probably crashes its endpoint. */
    HELD_BACK,
}

/** Request counters and latencies of a gateway process. */
internal class GatewayMetrics(
    registry: PrometheusRegistry,
) {
    private val requests =
        Counter
            .builder()
            .name("cicadaturn_gateway_requests")
            .help(
                "Requests by service, status and end: answered, cut (by this process) or left (by the caller); " +
                    "the status is 0 if the caller left, and empty if there was no answer.",
            ).labelNames("service", "status", "end")
            .register(registry)

    private val duration =
        Histogram
            .builder()
            .name("cicadaturn_gateway_request_seconds")
            .help("Time from arrival to the end of the answer.")
            .classicOnly()
            .labelNames("service")
            .register(registry)

    private val surplus =
        Counter
            .builder()
            .name("cicadaturn_gateway_endpoint_surplus")
            .help("Times that an endpoint sent bytes that are no answer or belong to another request.")
            .register(registry)

    private val taskFailures =
        Counter
            .builder()
            .name("cicadaturn_gateway_task_failures")
            .help("Failures of the tasks of this process by defects, by task.")
            .labelNames("task")
            .register(registry)

    /** Records that [task] has failed by a defect. */
    fun taskFailed(task: String) = taskFailures.labelValues(task).inc()

    /** Records that an endpoint sent bytes that are no answer or belong to another request. */
    fun surplusReceived() = surplus.inc()

    /** Records a request to [service], or null if none was chosen, that ended with [end] after [time]. */
    fun ended(
        service: ServiceId?,
        end: RequestEnd,
        time: Duration,
    ) {
        val name = service?.text.orEmpty()
        requests.labelValues(name, end.status?.toString().orEmpty(), end.outcome.name.lowercase()).inc()
        duration.labelValues(name).observe(time.toDouble(DurationUnit.SECONDS))
    }
}
