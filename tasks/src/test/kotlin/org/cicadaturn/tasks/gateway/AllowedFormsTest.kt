package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.net.Socket

/** Tests that requests and answers in the forms that PROTOCOL.md allows are served, whatever is rare about them. */
class AllowedFormsTest {
    /**
     * Request in a form that is allowed.
     *
     * @property body body that the endpoint must get
     */
    private class Form(
        val line: String,
        val headers: String,
        val content: String = "",
        val body: String = content,
    )

    private val identity = "X-Id: r1\r\nAuthorization: Bearer key\r\n"
    private val usual = "Host: shop.example\r\n$identity"
    private val chunked = usual + "Transfer-Encoding: chunked\r\n"

    private val forms =
        mapOf(
            "query" to Form("GET /safe/x?a=b&c=%20d&e HTTP/1.1", usual),
            "path with odd characters" to Form("GET /safe/x;y/%2F/~a:b@c,d HTTP/1.1", usual),
            "body with another method" to Form("PUT /safe/x HTTP/1.1", usual + "Content-Length: 3\r\n", "abc"),
            "body of DELETE" to Form("DELETE /safe/x HTTP/1.1", usual + "Content-Length: 3\r\n", "abc"),
            "empty body with a length" to Form("POST /safe/x HTTP/1.1", usual + "Content-Length: 0\r\n"),
            "no body and no length" to Form("POST /safe/x HTTP/1.1", usual),
            "empty body in chunks" to Form("POST /safe/x HTTP/1.1", chunked, "0\r\n\r\n", ""),
            "chunks with extensions and a trailer" to
                Form(
                    "POST /safe/x HTTP/1.1",
                    chunked,
                    "3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n",
                    "abc0123456789",
                ),
            "coding in another case" to
                Form("POST /safe/x HTTP/1.1", usual + "transfer-encoding:Chunked\r\n", "1\r\na\r\n0\r\n\r\n", "a"),
            "headers up to the limit" to
                Form("POST /safe/x HTTP/1.1", usual + List(100) { "X-H$it: ${"h".repeat(140)}\r\n" }.joinToString("")),
            "one long header" to Form("GET /safe/x HTTP/1.1", usual + "X-Long: ${"h".repeat(16_000)}\r\n"),
            "long path" to Form("GET /safe/${"p".repeat(16_000)} HTTP/1.1", usual),
            "host in another case and with a port" to
                Form("GET /safe/x HTTP/1.1", "Host: SHOP.example:8080\r\n$identity"),
            "headers without blanks, in lower case" to
                Form("GET /safe/x HTTP/1.1", "host:shop.example\r\nx-id:r1\r\nauthorization:bearer key\r\n"),
            "announced end of the connection" to Form("GET /safe/x HTTP/1.1", usual + "Connection: close\r\n"),
            "several values in Connection" to
                Form("GET /safe/x HTTP/1.1", usual + "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\n"),
        )

    /** Guards against a request that is refused, or changed on its way, because of its form. */
    @TestFactory
    fun `a request in an allowed form reaches an endpoint unchanged`() =
        forms.map { (name, form) ->
            DynamicTest.dynamicTest(name) {
                ScriptedEndpoint(::answerOk).use { endpoint ->
                    TestGateway(listOf(endpoint)).use { gateway ->
                        val answer = exchange(gateway.port, "${form.line}\r\n${form.headers}\r\n${form.content}")
                        assertEquals(200, answer.status, answer.body)
                        val received = endpoint.requests.single()
                        assertEquals(form.line, received.head.lines().first())
                        assertEquals(form.body, received.body)
                        val sent = form.headers.lines().filter { it.startsWith("X-H") && !it.startsWith("X-Hop") }
                        assertTrue(received.head.lines().containsAll(sent))
                    }
                }
            }
        }

    /** Guards against a caller that waits for its turn to send the body until it gives up. */
    @Test
    fun `a body that waits for an interim answer is asked for`() {
        ScriptedEndpoint(::answerOk).use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                Socket("127.0.0.1", gateway.port).use { socket ->
                    socket.soTimeout = 5_000
                    val head = "POST /once/x HTTP/1.1\r\n${usual}Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
                    socket.getOutputStream().write(head.encodeToByteArray())
                    assertTrue(readHead(socket.getInputStream()).orEmpty().startsWith("HTTP/1.1 100 "))
                    socket.getOutputStream().write("abc".encodeToByteArray())
                    assertEquals(200, readAnswer(socket).status)
                    assertEquals("abc", endpoint.requests.single().body)
                }
            }
        }
    }

    /** Guards against an answer whose status, headers or body are changed because of its status or missing signature. */
    @TestFactory
    fun `an answer that is no refusal is passed on as given`(): List<DynamicTest> {
        val successes = listOf("200 OK", "201 Created", "202 Accepted", "203 Other", "206 Partial", "299 Odd")
        val failures =
            listOf("300 M", "301 M", "303 S", "307 T", "400 No", "404 No", "410 G", "422 U", "500 E", "504 T", "599 O")
        val signed = (successes + failures).map { it to "X-Signature: s\r\n" }
        val answers = signed + failures.map { it to "" }
        return answers.flatMap { (status, signature) ->
            listOf(
                "Content-Length: 3\r\n" to "bad",
                "Transfer-Encoding: chunked\r\n" to "3\r\nbad\r\n0\r\n\r\n",
                "" to "bad",
            ).map { (framing, content) ->
                DynamicTest.dynamicTest("$status $signature$framing".replace("\r\n", " ")) {
                    val endpoint =
                        ScriptedEndpoint { r, out ->
                            out.text(
                                "HTTP/1.1 $status\r\nX-Id: ${r.id}\r\nX-Other: o\r\n$signature$framing\r\n$content",
                            )
                            framing.isNotEmpty()
                        }
                    endpoint.use { verify(it, status, signature) }
                }
            }
        }
    }

    private fun verify(
        endpoint: TestEndpoint,
        status: String,
        signature: String,
    ) {
        TestGateway(listOf(endpoint)).use { gateway ->
            val answer = exchange(gateway.port, request("/once/x"))
            assertEquals(status.take(3).toInt(), answer.status)
            assertEquals("bad", answer.body)
            assertEquals("o", headerIn(answer.head, "X-Other"))
            assertEquals(signature.isNotEmpty(), "X-Signature: s" in answer.head)
        }
    }

    /** Guards against an answer without a body that is waited for, or refused, because it announces no length. */
    @TestFactory
    fun `an answer whose status has no body is passed on`() =
        listOf("204 No Content", "304 Not Modified").map { status ->
            DynamicTest.dynamicTest(status) {
                val endpoint =
                    ScriptedEndpoint {
                        r,
                        out,
                        ->
                        out.text("HTTP/1.1 $status\r\nX-Id: ${r.id}\r\nX-Signature: s\r\n\r\n")
                    }
                endpoint.use {
                    TestGateway(listOf(it)).use { gateway ->
                        val answer = exchange(gateway.port, request("/once/x"))
                        assertEquals(status.take(3).toInt(), answer.status)
                        assertEquals("", answer.body)
                    }
                }
            }
        }
}
