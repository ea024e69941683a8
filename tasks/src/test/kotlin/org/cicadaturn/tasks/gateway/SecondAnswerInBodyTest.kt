package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.io.OutputStream

/** Tests bodies that are passed on as they arrive if an endpoint stops within its answer and sends it once more. */
class SecondAnswerInBodyTest {
    /** Guards against a body that is not buffered and so passes with a second answer in it. */
    @ParameterizedTest
    @CsvSource("text/event-stream, 1000", "application/json, 300000")
    fun `a body that was cut is not completed by a second answer`(
        type: String,
        length: Int,
    ) {
        val stopsAndRepeats: (RawRequest, OutputStream) -> Boolean = { r, out ->
            val whole = okHead(r, "Content-Type: $type\r\nContent-Length: $length") + "b".repeat(length)
            out.text(whole.dropLast(500) + whole)
        }
        ScriptedEndpoint(stopsAndRepeats).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/once/x"))
                assertFalse(
                    answer.isComplete && "HTTP/1.1" in answer.body,
                    "complete with a second answer in it",
                )
            }
        }
    }
}
