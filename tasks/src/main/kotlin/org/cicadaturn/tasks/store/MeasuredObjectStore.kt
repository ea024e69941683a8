package org.cicadaturn.tasks.store

import arrow.core.Either
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Returns a store that records the number and latency of its calls to [store] in [registry]. It registers its metrics,
 * so it can be created only once for each registry.
 *
 * The metrics are `store_calls_total{call}` (calls begun), `store_failures_total{call,kind}` (typed refusals
 * included), `store_unanswered_total`, `store_call_seconds{call}` (answered and failed calls, not cancelled ones;
 * a watch includes its wait) and `store_up`, which is 1 if the last finished call got an answer, whatever its
 * content, and 0 before the first. [timeSource] measures the latency.
 */
public fun measuredObjectStore(
    store: ObjectStore,
    registry: PrometheusRegistry,
    timeSource: TimeSource = TimeSource.Monotonic,
): ObjectStore = MeasuredObjectStore(store, StoreMetrics(registry), timeSource)

private class StoreMetrics(
    registry: PrometheusRegistry,
) {
    val calls: Counter =
        Counter
            .builder()
            .name("store_calls_total")
            .help("Calls to the platform's store that were begun.")
            .labelNames("call")
            .register(registry)

    val failures: Counter =
        Counter
            .builder()
            .name("store_failures_total")
            .help("Calls to the platform's store that failed, by kind of failure.")
            .labelNames("call", "kind")
            .register(registry)

    val unanswered: Counter =
        Counter
            .builder()
            .name("store_unanswered_total")
            .help("Calls to the platform's store that may have taken effect without an answer.")
            .register(registry)

    val latency: Histogram =
        Histogram
            .builder()
            .name("store_call_seconds")
            .help("Time from the begin to the end of a call to the platform's store; a watch includes its wait.")
            .classicOnly()
            .classicUpperBounds(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0)
            .labelNames("call")
            .register(registry)

    val up: Gauge =
        Gauge
            .builder()
            .name("store_up")
            .help("1 if the last finished call to the platform's store was answered.")
            .register(registry)
}

private class MeasuredObjectStore(
    private val store: ObjectStore,
    private val metrics: StoreMetrics,
    private val timeSource: TimeSource,
) : ObjectStore {
    override suspend fun get(key: String): Either<StoreError, StoredObject> = measured("get") { store.get(key) }

    override suspend fun list(prefix: String): Either<StoreError, StoreList> = measured("list") { store.list(prefix) }

    override suspend fun put(
        key: String,
        value: String,
        expected: Version?,
    ): Either<StoreError, Version> = measured("put") { store.put(key, value, expected) }

    override suspend fun delete(
        key: String,
        expected: Version,
    ): Either<StoreError, Unit> = measured("delete") { store.delete(key, expected) }

    override suspend fun watch(
        prefix: String,
        from: Version,
        wait: Duration,
    ): Either<StoreError, StoreEvents> = measured("watch") { store.watch(prefix, from, wait) }

    private inline fun <T> measured(
        name: String,
        call: () -> Either<StoreError, T>,
    ): Either<StoreError, T> {
        metrics.calls.labelValues(name).inc()
        val start = timeSource.markNow()
        val result = call()
        metrics.latency.labelValues(name).observe(start.elapsedNow().toDouble(DurationUnit.SECONDS))
        result.leftOrNull()?.let { metrics.failures.labelValues(name, kindOf(it)).inc() }
        val isUnanswered = result.leftOrNull() is StoreError.Unanswered
        if (isUnanswered) metrics.unanswered.inc()
        val hasNoAnswer = isUnanswered || result.leftOrNull() is StoreError.Unavailable
        metrics.up.set(if (hasNoAnswer) 0.0 else 1.0)
        return result
    }
}

/** Returns the label for [error]; the names are part of the metrics interface. */
internal fun kindOf(error: StoreError): String =
    when (error) {
        is StoreError.Conflict -> "conflict"
        is StoreError.NotFound -> "not_found"
        is StoreError.Compacted -> "compacted"
        is StoreError.Unavailable -> "unavailable"
        is StoreError.Unanswered -> "unanswered"
        is StoreError.TooLarge -> "too_large"
        is StoreError.Rejected -> "rejected"
    }
