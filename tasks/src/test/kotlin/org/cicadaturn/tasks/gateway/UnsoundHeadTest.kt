package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Tests what callers get if the head of an endpoint's answer is not as they need it. */
class UnsoundHeadTest {
    /** Guards against a success whose type, signature or identifier is verified but does not reach the caller. */
    @ParameterizedTest
    @ValueSource(strings = ["Content-Type", "X-Signature", "X-Id"])
    fun `a stream whose head loses a header that the caller needs is refused`(header: String) {
        ScriptedEndpoint { r, out ->
            out.text(streamAnswer(r, "s", event(1)).replaceFirst("\r\n", "\r\nConnection: close, $header\r\n"))
        }.use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(502, answer.status, answer.head)
            }
        }
    }

    /** Guards against a status line that callers cannot read. */
    @ParameterizedTest
    @ValueSource(strings = ["000", "099", "600", "1000"])
    fun `a status that does not exist is not passed on`(status: String) {
        ScriptedEndpoint { r, out ->
            out.text("HTTP/1.1 $status Odd\r\nX-Id: ${r.id}\r\nContent-Length: 0\r\n\r\n")
        }.use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x", "X-Deadline: 500\r\n"))
                assertEquals("HTTP/1.1 502 Bad Gateway", answer.head.substringBefore("\r\n"))
            }
        }
    }
}
