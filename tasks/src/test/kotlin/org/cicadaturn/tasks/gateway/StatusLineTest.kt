package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests what callers get if the status of an endpoint's signed answer is not one of three digits that exists. */
class StatusLineTest {
    private val statuses =
        listOf(
            "000",
            "000 ",
            "000 OK",
            "099 X",
            "1 X",
            "20 OK",
            "600 X",
            "999 X",
            "2000 OK",
            "-200 OK",
            "2 00",
            "200OK",
        ) +
            listOf("100 X", "101 X", "0200 OK", "+200 OK", "00200 OK", "0503 X", "+404 X", "x200 OK", "200.0 OK", "")

    private fun withStatus(
        answer: String,
        status: String,
    ): String = answer.replaceFirst(Regex("""^HTTP/1\.1 200 OK"""), "HTTP/1.1 $status")

    private fun statusOf(
        path: String,
        answer: (RawRequest) -> String,
    ): Int =
        ScriptedEndpoint { r, out -> !out.text(answer(r)) }.use { endpoint ->
            TestGateway(listOf(endpoint)).use { exchange(it.port, request(path, "X-Deadline: 500\r\n")).status }
        }

    /** Guards against a failure that is passed on as a success, and against a status that callers cannot read. */
    @Test
    fun `an answer whose status does not exist is not passed on`() {
        val answered =
            listOf("/safe/x", "/once/x").flatMap { path ->
                statuses.map { status ->
                    Triple(path, status, statusOf(path) { withStatus(okHead(it, "Content-Length: 2") + "ok", status) })
                }
            }
        assertEquals(emptyList<Any>(), answered.filter { it.third != 502 && it.third != 504 })
    }

    /** Guards against the same in a stream. */
    @Test
    fun `a stream whose status does not exist is not passed on`() {
        val answered =
            statuses.associateWith { status ->
                statusOf("/stream/x") { withStatus(streamAnswer(it, "s", event(1) + event(2)), status) }
            }
        assertEquals(emptyMap<String, Int>(), answered.filterValues { it != 502 && it != 504 })
    }

    /** Guards against a part of a stream that is continued with an answer whose status does not exist. */
    @Test
    fun `an answer whose status does not exist continues no stream`() {
        val continued =
            statuses.filter { status ->
                val first = ScriptedEndpoint { r, out -> !out.text(streamHead(r, "s") + event(1)) }
                val second =
                    ScriptedEndpoint {
                        r,
                        out,
                        ->
                        !out.text(withStatus(streamAnswer(r, "s", event(2) + event(3)), status))
                    }
                first.use {
                    second.use {
                        TestGateway(listOf(first, second)).use { gateway ->
                            val answer = exchange(gateway.port, request("/stream/x", "X-Deadline: 500\r\n"))
                            "d2" in answer.body
                        }
                    }
                }
            }
        assertEquals(emptyList<String>(), continued)
    }

    /** Guards against sound answers that are refused for what stands around their status. */
    @Test
    fun `a status of three digits is passed on with any reason`() {
        listOf("200", "200 ", "200 OK", "200  spaced", "200 2000").forEach { status ->
            assertEquals(
                200,
                statusOf("/safe/x") { withStatus(okHead(it, "Content-Length: 2") + "ok", status) },
                status,
            )
        }
    }
}
