package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class HeldReportRequestsTest {
    private val start = Instant.fromEpochMilliseconds(0)

    private fun request(
        seen: Long = 5,
        wait: Duration = 1.seconds,
    ) = FleetMessage.GetReport(StoreReportRequest(seen, wait), start, CompletableDeferred())

    private fun report(held: Duration) = StoreReport(6, held)

    @OptIn(ExperimentalCoroutinesApi::class)
    private fun heldTimeOf(request: FleetMessage.GetReport): Duration? =
        if (request.reply.isCompleted) request.reply.getCompleted()?.held else null

    /** Guards against a peer that learns late of an answer, and against one that is told the same at once. */
    @Test
    fun `a request is held until there is an answer that its peer does not know`() {
        val requests = heldReportRequests()
        val old = request(seen = 4)
        val current = request(seen = 5)
        assertTrue(requests.add(old, start))
        assertTrue(requests.add(current, start))
        requests.complete(5, start + 2.milliseconds, ::report)
        assertEquals(listOf(2.milliseconds, null), listOf(old, current).map { heldTimeOf(it) })
        requests.complete(6, start + 3.milliseconds, ::report)
        assertEquals(3.milliseconds, heldTimeOf(current))
        assertNull(requests.nextEnd())
    }

    /** Guards against requests that are held for as long as a peer wishes, and connections that stay open for it. */
    @Test
    fun `a request is answered when its wait is over`() {
        val requests = heldReportRequests()
        val short = request()
        val long = request(wait = 1_000.seconds)
        requests.add(short, start)
        requests.add(long, start)
        assertEquals(start + 1.seconds, requests.nextEnd())
        requests.complete(5, start + 1.seconds, ::report)
        assertEquals(listOf(1.seconds, null), listOf(short, long).map { heldTimeOf(it) })
        assertEquals(start + 10.seconds, requests.nextEnd())
    }

    /** Guards against a process that is busy with the requests of many peers, and one that refuses for good. */
    @Test
    fun `the number of requests is bounded and does not count those that were cancelled`() {
        val requests = heldReportRequests()
        val first = List(40) { request() }
        assertTrue(first.all { requests.add(it, start) })
        val surplus = request()
        assertFalse(requests.add(surplus, start))
        assertTrue(surplus.reply.isCompleted)
        first.take(2).forEach { it.reply.cancel() }
        assertEquals(listOf(true, true, false), List(3) { requests.add(request(), start) })
    }
}
