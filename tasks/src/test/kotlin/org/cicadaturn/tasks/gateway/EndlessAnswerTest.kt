package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.OutputStream

/** Tests streams of callers if an endpoint sends bytes that are no event without end and without a pause. */
class EndlessAnswerTest {
    private val continues: (RawRequest, OutputStream) -> Boolean = { r, out ->
        val from = r.header("Last-Event-Id")?.toInt() ?: 0
        !out.text(streamAnswer(r, "second", (from + 1..5).joinToString("") { event(it) }))
    }

    /** Guards against a stream that waits until its deadline because bytes that are no event always arrive. */
    @ParameterizedTest
    @ValueSource(strings = [": comment\n\n", "HTTP/1.1 103 Early Hints\r\n\r\n"])
    fun `a stream goes on at another endpoint although bytes without an event arrive all the time`(bytes: String) {
        val sendsWithoutEnd: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (bytes.startsWith(":")) out.text(streamHead(r, "first") + event(1))
            while (true) out.text(bytes.repeat(100))
            @Suppress("UNREACHABLE_CODE")
            false
        }
        ScriptedEndpoint(sendsWithoutEnd).use { first ->
            ScriptedEndpoint(continues).use { second ->
                TestGateway(listOf(first, second)).use { gateway ->
                    val answer = exchange(gateway.port, request("/stream/x"))
                    assertEquals((1..5).joinToString("") { event(it) }, answer.body, "${answer.status}")
                    assertTrue(answer.isComplete)
                }
            }
        }
    }
}
