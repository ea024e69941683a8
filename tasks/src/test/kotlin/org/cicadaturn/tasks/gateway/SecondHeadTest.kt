package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream

/** Tests what callers get if an endpoint stops within its answer and sends it once more, from its head on. */
class SecondHeadTest {
    private fun event(
        id: Int,
        length: Int,
    ) = "id: $id\ndata: d$id${"x".repeat(length)}\n\n"

    private fun events(from: Int = 1): String = (from..5).joinToString("") { event(it, length = 100) }

    private val continues: (RawRequest, OutputStream) -> Boolean = { r, out ->
        !out.text(streamAnswer(r, "second", events(from = (r.header("Last-Event-Id")?.toInt() ?: 0) + 1)))
    }

    /** Guards against an event whose data ends with the head of a second answer in a stream that seems complete. */
    @Test
    fun `an event that was cut is not completed by a second head`() {
        val stopsAndRepeats: (RawRequest, OutputStream) -> Boolean = { r, out ->
            val whole = streamAnswer(r, "first", events())
            !out.text(whole.substringBefore("3x") + whole)
        }
        ScriptedEndpoint(stopsAndRepeats).use { first ->
            ScriptedEndpoint(continues).use { second ->
                TestGateway(listOf(first, second)).use { gateway ->
                    val answer = exchange(gateway.port, request("/stream/x"))
                    assertEquals(events(), answer.body)
                    assertTrue(answer.isComplete)
                }
            }
        }
    }
}
