package org.cicadaturn.tasks.gateway

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cicadaturn.decisions.gateway.RestorationStep

/** Metrics of restores of the store from a copy, as one process sees them. */
public class RestorationMetrics(
    registry: PrometheusRegistry,
) {
    private val era =
        Gauge
            .builder()
            .name("cicadaturn_gateway_store_era")
            .help("Newest known era of the store; rises by one with each restore from a copy.")
            .register(registry)

    private val entries =
        Counter
            .builder()
            .name("cicadaturn_gateway_restored_entries")
            .help("Entries that a restored store lists otherwise: kept, withheld, dropped or rewritten.")
            .labelNames("action")
            .register(registry)

    private var newest = 0L

    /** Records an answer of [era]. */
    internal fun answered(era: Long) {
        if (era <= newest) return
        newest = era
        this.era.set(era.toDouble())
    }

    /** Records what was done with the entries of a part. */
    internal fun applied(step: RestorationStep) =
        when (step) {
            is RestorationStep.Restored -> {
                add("kept", step.kept.size)
                add("withheld", step.withheld.size)
            }
            is RestorationStep.Dropped -> add("dropped", step.entries.size)
        }

    /** Records that [count] entries of the gateways themselves are written again. */
    internal fun rewritten(count: Int) = add("rewritten", count)

    private fun add(
        action: String,
        count: Int,
    ) = entries.labelValues(action).inc(count.toDouble())
}
