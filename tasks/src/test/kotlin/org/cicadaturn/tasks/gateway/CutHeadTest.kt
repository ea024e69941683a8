package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.io.OutputStream

/** Tests what callers get if an endpoint closes its connection within the head of its answer. */
class CutHeadTest {
    private val heads =
        mapOf(
            "sized" to "Content-Length: 2\r\n",
            "chunked" to "Transfer-Encoding: chunked\r\n",
            "unsized" to "",
            "stream" to "Content-Type: text/event-stream\r\n",
        )

    /** Guards against a success with an empty or short body that is framed as whole. */
    @ParameterizedTest
    @CsvSource("safe, sized", "safe, chunked", "safe, unsized", "once, sized", "once, unsized", "stream, stream")
    fun `a head that is cut at any byte is no success`(
        route: String,
        framing: String,
    ) {
        val script: (RawRequest, OutputStream) -> Boolean = { r, out ->
            val length =
                r.id
                    .orEmpty()
                    .removePrefix("cut")
                    .toInt()
            val head = "HTTP/1.1 200 OK\r\nX-Id: ${r.id}\r\nX-Signature: s\r\n${heads.getValue(framing)}\r\n"
            !out.text(head.take(length))
        }
        val fullLength = "HTTP/1.1 200 OK\r\nX-Id: cut10\r\nX-Signature: s\r\n${heads.getValue(framing)}\r\n".length
        (0 until fullLength).chunked(POSITIONS_PER_GATEWAY).forEach { positions ->
            ScriptedEndpoint(script).use { endpoint ->
                TestGateway(listOf(endpoint)).use { gateway ->
                    for (position in positions) {
                        val id = "cut" + position.toString().padStart(2, '0')
                        val answer = exchange(gateway.port, request("/$route/x", id = id))
                        assertFalse(answer.status == 200, "cut after $position bytes: 200 ${answer.body}")
                    }
                    assertTrue(endpoint.requests.isNotEmpty())
                }
            }
        }
    }

    private companion object {
        /** Few, as a gateway does not send requests to an endpoint whose answers are all cut. */
        const val POSITIONS_PER_GATEWAY = 4
    }
}
