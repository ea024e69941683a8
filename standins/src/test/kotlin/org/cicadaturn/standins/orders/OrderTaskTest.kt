@file:OptIn(ExperimentalCoroutinesApi::class)

package org.cicadaturn.standins.orders

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.KeyRuns
import org.cicadaturn.schema.generated.OrderConfirmation
import org.cicadaturn.schema.generated.OrderRuns
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Tests the runs and faults of the stand-in order service, in virtual time. */
class OrderTaskTest {
    /** Guards against deduplication and wrong counts, which would hide that the load balancer repeats a run. */
    @Test
    fun `every call runs and is counted by its key`() =
        orderTest { handler ->
            val numbers = listOf("a", "b", "a", null, "a", null).map { handler.order("/orders/plates", it).number }
            assertEquals((1L..6L).toList(), numbers)
            assertEquals(OrderRuns(6, 2, 0, listOf(KeyRuns("a", 3), KeyRuns("b", 1))), handler.runs())
        }

    /** Guards against runs outside the order path, and against a confirmation of an order that never ran. */
    @ParameterizedTest
    @CsvSource(
        "POST,/orders,200,2",
        "POST,/orders/x,200,2",
        "POST,/ordersx,404,1",
        "PUT,/orders,405,1",
        "GET,/orders,200,1",
        "GET,/orders/1,200,1",
        "GET,/orders/2,404,1",
        "POST,/control/other,404,1",
        "POST,/control/stall,400,1",
    )
    fun `only a POST at the order path runs`(
        method: String,
        path: String,
        status: Int,
        total: Long,
    ) = orderTest { handler ->
        handler.order("/orders", null)
        assertEquals(status, handler.call(method, path).status())
        assertEquals(total, handler.runs().total)
    }

    /** Guards against a lost answer whose order did not run, or that is complete. */
    @ParameterizedTest
    @CsvSource("0,0", "20,20")
    fun `lost answer is cut after the run`(
        afterBytes: Int,
        sent: Int,
    ) = orderTest { handler ->
        handler.call("POST", "/control/lose", body = """{"count":1,"afterBytes":$afterBytes}""")
        val lost = handler.call("POST", "/orders", "k")
        assertEquals(sent, lost.bytes.size)
        assertTrue(lost.close)
        val next = handler.call("POST", "/orders", "k")
        assertEquals(200, next.status())
        assertFalse(next.close)
        assertEquals(OrderRuns(2, 0, 1, listOf(KeyRuns("k", 2))), handler.runs())
    }

    /** Guards against a cut that sends the whole answer. */
    @Test
    fun `cut omits at least the last byte`() =
        orderTest { handler ->
            val whole = handler.call("POST", "/orders").bytes.size
            handler.call("POST", "/control/lose", body = """{"count":1,"afterBytes":100000}""")
            assertEquals(whole - 1, handler.call("POST", "/orders").bytes.size)
        }

    /** Guards against runs during a stall, and against calls that a stall loses. */
    @Test
    fun `stalled calls run after the stall`() =
        orderTest { handler ->
            handler.call("POST", "/control/stall", body = """{"millis":1000}""")
            val calls = List(3) { async { handler.order("/orders", "k$it") } }
            testScheduler.advanceTimeBy(999)
            assertEquals(0, handler.runs().total)
            testScheduler.advanceTimeBy(2)
            assertEquals(3, handler.runs().total)
            calls.forEach { it.await() }
            handler.call("POST", "/control/stall", body = """{"millis":1000}""")
            val held = async { handler.order("/orders", null) }
            runCurrent()
            handler.call("POST", "/control/stall", body = """{"millis":0}""")
            held.await()
            assertEquals(1_001, currentTime)
        }

    /** Guards against delays that are ignored or applied on the wrong side of the run. */
    @Test
    fun `delays apply before and after the run`() =
        orderTest { handler ->
            handler.call("POST", "/control/delay", body = """{"beforeMillis":30,"afterMillis":40}""")
            val call = async { handler.order("/orders", null) }
            testScheduler.advanceTimeBy(29)
            assertEquals(0, handler.runs().total)
            testScheduler.advanceTimeBy(2)
            assertEquals(1, handler.runs().total)
            call.await()
            assertEquals(70, currentTime)
        }
}

private fun orderTest(test: suspend TestScope.(OrderHandler) -> Unit) =
    runTest {
        val owner = Job(backgroundScope.coroutineContext.job)
        val inbox = Channel<OrderMessage>(ORDER_INBOX_CAPACITY)
        (backgroundScope + owner).launch { OrderTask(inbox) { delay(it) }.run(this) }
        test(OrderHandler(OrderServiceSettings(), OrderTaskHandle(inbox, Channel(), owner)) { delay(it) })
    }

private suspend fun OrderHandler.call(
    method: String,
    path: String,
    key: String? = null,
    body: String = "",
): OrderAnswer = handle(OrderCall(method, path, key, close = false, body = body))

private suspend fun OrderHandler.order(
    path: String,
    key: String?,
): OrderConfirmation = Json.decodeFromString(call("POST", path, key).body())

private suspend fun OrderHandler.runs(): OrderRuns = Json.decodeFromString(call("GET", "/runs").body())

private fun OrderAnswer.body(): String = bytes.decodeToString().substringAfter("\r\n\r\n")

private fun OrderAnswer.status(): Int = bytes.decodeToString().split(' ')[1].toInt()
