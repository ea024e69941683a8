package org.cicadaturn.daemons.system

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import org.cicadaturn.schema.generated.ModelList
import org.cicadaturn.schema.generated.OrderConfirmation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Sends requests of each kind through all processes over sockets. */
class WholePathTest {
    /** Guards against answers that are cut off, mixed with others or sent to the wrong caller under load. */
    @Test
    fun `concurrent drafts get their own complete answers`() =
        withSystem { system ->
            val entries = system.entries.keys.toList()
            val answers =
                List(200) { i ->
                    async {
                        val entry = system.entry(entries[i % entries.size])
                        system.callers.draft(entry, "draft number $i", 8 + i % 25, stream = i % 4 < 2)
                    }
                }.awaitAll()
            answers.forEachIndexed { i, answer ->
                assertEquals(Reply(200, expectedDraft("draft number $i", 8 + i % 25)), answer, "draft $i")
            }
            val finished = system.engines.values.map { it.counters().batch.finished }
            assertEquals(200, finished.sum())
            assertTrue(finished.all { it > 0 }, "requests finished by each engine: $finished")
        }

    /** Guards against a model list that differs from the configuration. */
    @Test
    fun `the model list names the models of all services`() =
        withSystem { system ->
            val reply = system.callers.call(system.entry("entry-1"), "GET", "/v1/models")
            assertEquals(listOf(MODEL to DRAFTS), decode<ModelList>(reply.body).data.map { it.id to it.ownedBy })
        }

    /** Guards against an order with a key that runs twice, and against an order without a key that is not forwarded. */
    @Test
    fun `orders run once for each key and once for each call without a key`() =
        withSystem { system ->
            val first = system.callers.order(system.entry("entry-1"), "a")
            val again = system.callers.order(system.entry("entry-2"), "a")
            val other = system.callers.order(system.entry("entry-2"), "b")
            val withoutKey = List(2) { system.callers.order(system.entry("entry-1"), null) }
            assertEquals("a", first.confirmation.key)
            assertEquals(first, again)
            assertEquals("b", other.confirmation.key)
            withoutKey.forEach { assertNull(it.confirmation.key) }
            assertEquals(mapOf("a" to 1L, "b" to 1L), system.runsByKey())
            assertEquals(4, system.totalRuns())
        }

    /** Guards against a read of a plain service that runs as an order or is changed in transit. */
    @Test
    fun `a plain service is read through the entry`() =
        withSystem(
            SystemOptions().copy(endpoints = SystemOptions().endpoints.filter { it.id != "orders-2" }),
        ) { system ->
            val ordered = system.callers.order(system.entry("entry-1"), "read").confirmation
            val path = "/$ORDERS/${ordered.number}?full=yes"
            val read = system.callers.call(system.entry("entry-2"), "GET", path)
            assertEquals(ordered, decode<OrderConfirmation>(read.body))
            val missing = system.callers.call(system.entry("entry-2"), "GET", "/$ORDERS/999")
            assertEquals(404, missing.status)
            assertEquals(1, system.totalRuns())
        }
}
