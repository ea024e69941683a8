package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.OutputStream

/** Tests the event streams that callers receive if an endpoint sends pieces that are no event of the run. */
class UnsoundEventTest {
    private val whole = (1..5).joinToString("") { event(it) }

    private fun sendsWithin(
        piece: String,
        before: Int,
    ): (RawRequest, OutputStream) -> Boolean =
        { r, out ->
            val events = (1..5).joinToString("") { if (it == before) piece + event(it) else event(it) }
            !out.text(streamAnswer(r, "first", events))
        }

    private val continues: (RawRequest, OutputStream) -> Boolean = { r, out ->
        val from = r.header("Last-Event-Id")?.toInt() ?: 0
        !out.text(streamAnswer(r, "second", (from + 1..5).joinToString("") { event(it) }))
    }

    /** Guards against a piece that no run made within a stream that looks sound. */
    @ParameterizedTest
    @ValueSource(strings = ["data: x\n\n", "id:\ndata: x\n\n", "id: x\ndata: x\n\n", "rubbish\n\n", "rubbish\n"])
    fun `a stream with a piece that is no event goes on at another endpoint`(piece: String) {
        for (before in 1..5) {
            ScriptedEndpoint(sendsWithin(piece, before)).use { first ->
                ScriptedEndpoint(continues).use { second ->
                    TestGateway(listOf(first, second)).use { gateway ->
                        val answer = exchange(gateway.port, request("/stream/x"))
                        assertEquals(whole, answer.body, "piece before event $before")
                        assertTrue(answer.isComplete)
                        assertEquals(1, second.requests.size)
                    }
                }
            }
        }
    }

    /** Guards against events of two runs in one stream, of which some are left out because of their numbers. */
    @ParameterizedTest
    @ValueSource(strings = ["id: 2\ndata: d2\n\n", "id: 1\ndata: other\n\nid: 6\ndata: other\n\n"])
    fun `a stream whose numbers go back goes on at another endpoint`(piece: String) {
        ScriptedEndpoint(sendsWithin(piece, before = 3)).use { first ->
            ScriptedEndpoint(continues).use { second ->
                TestGateway(listOf(first, second)).use { gateway ->
                    val answer = exchange(gateway.port, request("/stream/x"))
                    assertEquals(whole, answer.body)
                    assertTrue(answer.isComplete)
                }
            }
        }
    }

    /** Guards against a stream that looks complete though an event is missing or cannot be seen by the caller. */
    @ParameterizedTest
    @ValueSource(ints = [1, 3])
    fun `a stream in which an event is left out goes on at another endpoint`(missing: Int) {
        for (substitute in listOf("", "id: $missing\n\n")) {
            val events = (1..5).joinToString("") { if (it == missing) substitute else event(it) }
            ScriptedEndpoint { r, out -> !out.text(streamAnswer(r, "first", events)) }.use { first ->
                ScriptedEndpoint(continues).use { second ->
                    TestGateway(listOf(first, second)).use { gateway ->
                        val answer = exchange(gateway.port, request("/stream/x"))
                        assertEquals(whole, answer.body)
                        assertTrue(answer.isComplete)
                    }
                }
            }
        }
    }

    /** Guards against a stream that looks complete although no endpoint could send its rest. */
    @ParameterizedTest
    @ValueSource(strings = ["data: x\n\n", "id:\ndata: x\n\n", "rubbish\n\n"])
    fun `a stream that cannot go on at another endpoint is cut before the unsound piece`(piece: String) {
        ScriptedEndpoint(sendsWithin(piece, before = 3)).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(event(1) + event(2), answer.body)
                assertFalse(answer.isComplete)
            }
        }
    }
}
