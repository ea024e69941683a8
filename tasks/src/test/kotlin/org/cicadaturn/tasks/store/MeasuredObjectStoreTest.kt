package org.cicadaturn.tasks.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import io.prometheus.metrics.model.snapshots.GaugeSnapshot
import io.prometheus.metrics.model.snapshots.HistogramSnapshot
import io.prometheus.metrics.model.snapshots.Labels
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

@OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
class MeasuredObjectStoreTest {
    private val registry = PrometheusRegistry()

    /** Guards against calls that are not counted or are counted under another name. */
    @Test
    fun `each call is counted under its name`() =
        runTest {
            val store = measuredObjectStore(StubStore(null), registry, testTimeSource)
            store.get("a")
            store.list("a")
            store.put("a", "v", null)
            store.delete("a", Version(1))
            store.watch("a", Version(1), Duration.ZERO)
            listOf("get", "list", "put", "delete", "watch").forEach {
                assertEquals(1.0, counter("store_calls", Labels.of("call", it)), it)
            }
            assertEquals(1.0, up())
        }

    /** Guards against an error without its own label and against a refusal that is reported as an outage. */
    @Test
    fun `each failure is counted by kind`() =
        runTest {
            val kinds =
                listOf(
                    Triple(StoreError.Conflict(null), "conflict", 1.0),
                    Triple(StoreError.NotFound("a"), "not_found", 1.0),
                    Triple(StoreError.Compacted(Version(1)), "compacted", 1.0),
                    Triple(StoreError.Unavailable("refused"), "unavailable", 0.0),
                    Triple(StoreError.TooLarge(2, 1), "too_large", 1.0),
                    Triple(StoreError.Unanswered("timeout"), "unanswered", 0.0),
                    Triple(StoreError.Rejected(400, "no key"), "rejected", 1.0),
                )
            val stub = StubStore(null)
            val store = measuredObjectStore(stub, registry, testTimeSource)
            kinds.forEach { (error, kind, up) ->
                stub.error = error
                store.get("a")
                assertEquals(1.0, counter("store_failures", Labels.of("call", "get", "kind", kind)), kind)
                assertEquals(up, up(), kind)
            }
            assertEquals(1.0, counter("store_unanswered", Labels.EMPTY))
        }

    /** Guards against latencies in the wrong unit and against cancelled calls that distort them. */
    @Test
    fun `latency is observed in seconds for finished calls`() =
        runTest {
            val store = measuredObjectStore(StubStore(null), registry, testTimeSource)
            store.get("a")
            withTimeoutOrNull(10.milliseconds) { store.get("a") }
            val latency =
                registry
                    .scrape()
                    .filterIsInstance<HistogramSnapshot>()
                    .single()
                    .dataPoints
                    .single()
            assertEquals(1L, latency.count)
            assertEquals(0.25, latency.sum, 1e-9)
            assertEquals(2.0, counter("store_calls", Labels.of("call", "get")))
        }

    private fun counter(
        name: String,
        labels: Labels,
    ): Double =
        registry
            .scrape()
            .filterIsInstance<CounterSnapshot>()
            .single { it.metadata.name == name }
            .dataPoints
            .single { it.labels == labels }
            .value

    private fun up(): Double =
        registry
            .scrape()
            .filterIsInstance<GaugeSnapshot>()
            .single()
            .dataPoints
            .single()
            .value
}

/** Answers each call after 250 ms, with [error] if it is set. */
private class StubStore(
    var error: StoreError?,
) : ObjectStore {
    override suspend fun get(key: String) = answer(StoredObject(key, Version(1), "v"))

    override suspend fun list(prefix: String) = answer(StoreList(Version(1), emptyList()))

    override suspend fun put(
        key: String,
        value: String,
        expected: Version?,
    ) = answer(Version(2))

    override suspend fun delete(
        key: String,
        expected: Version,
    ) = answer(Unit)

    override suspend fun watch(
        prefix: String,
        from: Version,
        wait: Duration,
    ) = answer(StoreEvents(from, emptyList()))

    private suspend fun <T> answer(value: T): Either<StoreError, T> {
        delay(250.milliseconds)
        return error?.left() ?: value.right()
    }
}
