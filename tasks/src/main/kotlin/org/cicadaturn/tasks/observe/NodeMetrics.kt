package org.cicadaturn.tasks.observe

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/**
 * Metrics of an entry process.
 *
 * @property registry registry that the metrics belong to
 * @property requests requests by service and result
 * @property attempts attempts by service and outcome
 * @property retries attempts after the first, by service
 * @property resumes streamed answers that were resumed at another endpoint, by service
 * @property duration seconds from arrival to the end of the answer, by service
 * @property firstByte seconds from arrival to the head of the answer, by service
 * @property cutRequests requests that were cut when the process stopped
 */
public class EntryMetrics(
    public val registry: PrometheusRegistry,
    public val requests: Counter,
    public val attempts: Counter,
    public val retries: Counter,
    public val resumes: Counter,
    public val duration: Histogram,
    public val firstByte: Histogram,
    public val cutRequests: Counter,
)

/** Creates and registers the metrics of an entry process. */
public fun entryMetrics(registry: PrometheusRegistry): EntryMetrics =
    EntryMetrics(
        registry = registry,
        requests = counter(registry, "cicadaturn_requests", "Requests by result.", "service", "result"),
        attempts = counter(registry, "cicadaturn_attempts", "Attempts by outcome.", "service", "outcome"),
        retries = counter(registry, "cicadaturn_retries", "Attempts after the first.", "service"),
        resumes = counter(registry, "cicadaturn_resumes", "Streamed answers that were continued elsewhere.", "service"),
        duration = histogram(registry, "cicadaturn_request_seconds", "Time from arrival to the end of the answer."),
        firstByte =
            histogram(
                registry,
                "cicadaturn_first_byte_seconds",
                "Time from arrival to the head of the answer.",
            ),
        cutRequests = counter(registry, "cicadaturn_cut_requests", "Requests that a stop cut."),
    )

/**
 * Metrics of an endpoint process.
 *
 * @property registry registry that the metrics belong to
 * @property requests requests by the frame that ended them
 * @property running number of running requests
 * @property queued number of requests that wait for admission
 * @property bound number of requests that may run at once
 */
public class EndpointMetrics(
    public val registry: PrometheusRegistry,
    public val requests: Counter,
    public val running: Gauge,
    public val queued: Gauge,
    public val bound: Gauge,
)

/** Creates and registers the metrics of an endpoint process. */
public fun endpointMetrics(registry: PrometheusRegistry): EndpointMetrics =
    EndpointMetrics(
        registry = registry,
        requests = counter(registry, "cicadaturn_endpoint_requests", "Requests by their last frame.", "result"),
        running = gauge(registry, "cicadaturn_endpoint_running", "Requests that run."),
        queued = gauge(registry, "cicadaturn_endpoint_queued", "Requests that wait for admission."),
        bound = gauge(registry, "cicadaturn_endpoint_bound", "Requests that may run at once."),
    )

/**
 * Metrics that every process has.
 *
 * @property wireErrors connections that ended or were refused, by kind of error
 * @property revision revision of the configuration in force
 * @property current 1 if the store has confirmed that revision, else 0
 */
public class ProcessMetrics(
    public val wireErrors: Counter,
    public val revision: Gauge,
    public val current: Gauge,
)

/** Creates and registers the metrics that every process has. */
public fun processMetrics(registry: PrometheusRegistry): ProcessMetrics =
    ProcessMetrics(
        wireErrors = counter(registry, "cicadaturn_wire_errors", "Connections that ended or were refused.", "kind"),
        revision = gauge(registry, "cicadaturn_configuration_revision", "Revision of the configuration in force."),
        current =
            gauge(
                registry,
                "cicadaturn_configuration_current",
                "1 if the store confirmed the revision in force.",
            ),
    )

private fun counter(
    registry: PrometheusRegistry,
    name: String,
    help: String,
    vararg labels: String,
): Counter =
    Counter
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .register(registry)

private fun gauge(
    registry: PrometheusRegistry,
    name: String,
    help: String,
): Gauge =
    Gauge
        .builder()
        .name(name)
        .help(help)
        .register(registry)

private fun histogram(
    registry: PrometheusRegistry,
    name: String,
    help: String,
): Histogram =
    Histogram
        .builder()
        .name(name)
        .help(help)
        .labelNames("service")
        .register(registry)
