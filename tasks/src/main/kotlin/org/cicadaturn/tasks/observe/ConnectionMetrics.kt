package org.cicadaturn.tasks.observe

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.apache.logging.log4j.LogManager
import org.cicadaturn.tasks.http.ConnectionLoss
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Counts refused and closed connections by reason, and logs their numbers now and then. Used on the event loop only.
 *
 * @param process kind of the process, which is a part of the name of the counter
 */
internal class ConnectionMetrics(
    process: String,
    registry: PrometheusRegistry,
    private val clock: Clock,
) {
    private val losses =
        Counter
            .builder()
            .name("cicadaturn_${process}_connection_losses")
            .help(
                "Connections and requests that were refused or closed to protect this process, by listener and reason.",
            ).labelNames("listener", "reason")
            .register(registry)
    private val unlogged = HashMap<String, Int>()
    private var loggedAt = Instant.DISTANT_PAST

    /** Records a [loss] at [listener]. */
    fun lost(
        listener: String,
        loss: ConnectionLoss,
    ) {
        val reason = loss.name.lowercase()
        losses.labelValues(listener, reason).inc()
        unlogged.merge("$listener $reason", 1, Int::plus)
        val now = clock.now()
        if (now - loggedAt < LOG_INTERVAL) return
        loggedAt = now
        logger.warn("connections: refused or closed since the last line: {}", unlogged)
        unlogged.clear()
    }

    private companion object {
        val logger = LogManager.getLogger(ConnectionMetrics::class.java)

        /** A crowd of clients loses thousands of connections a second, which must not use up the limit of the log. */
        val LOG_INTERVAL = 10.seconds
    }
}
