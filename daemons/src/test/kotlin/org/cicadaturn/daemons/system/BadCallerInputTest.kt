package org.cicadaturn.daemons.system

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Sends invalid requests; each must get the expected error, run nothing and not affect other requests. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class BadCallerInputTest {
    /** Encoded request with the expected error, given as type and outcome. */
    class Case(
        val name: String,
        val expectedResult: String,
        val request: ByteArray,
    ) {
        override fun toString(): String = name
    }

    private lateinit var system: TestSystem

    @BeforeAll
    fun start() = runBlocking(Dispatchers.Default) { system = startSystem() }

    @AfterAll
    fun stop() = runBlocking(Dispatchers.Default) { system.close() }

    /** Guards against an invalid request that is accepted, gets the wrong error or makes the process stop serving. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `a bad request gets a typed error and the process continues to serve`(case: Case) =
        runBlocking(Dispatchers.Default) {
            val runs = system.totalRuns()
            assertEquals(case.expectedResult, rawCall(system.entry("entry-1"), case.request).result)
            assertEquals(runs, system.totalRuns(), "orders that ran")
            assertEquals(
                Reply(200, expectedDraft("next", 2)),
                system.callers.draft(system.entry("entry-1"), "next", 2, false),
            )
        }

    /** Guards against an idempotency key that is accepted for two different requests. */
    @ParameterizedTest
    @MethodSource("changedOrders")
    fun `a key that was used with another request is refused`(
        method: String,
        path: String,
        body: String,
    ) = runBlocking(Dispatchers.Default) {
        val entry = system.entry("entry-1")
        val key = mapOf("Idempotency-Key" to "reused")
        val first = system.callers.call(entry, "POST", "/$ORDERS", key, "first")
        val changed = system.callers.call(system.entry("entry-2"), method, path, key, body)
        assertEquals("idempotency_key_reused/not_run", changed.result)
        assertEquals(first, system.callers.call(entry, "POST", "/$ORDERS", key, "first"))
        assertEquals(1, system.runsByKey().getValue("reused"))
    }

    fun changedOrders(): List<Array<String>> =
        listOf(
            arrayOf("POST", "/$ORDERS", "second"),
            arrayOf("POST", "/$ORDERS/urgent", "first"),
            arrayOf("PUT", "/$ORDERS", "first"),
        )

    fun cases(): List<Case> = authenticationCases() + pathCases() + bodyCases() + sizeCases() + orderCases()

    private fun authenticationCases(): List<Case> {
        val body = chatBody("x", 2, stream = false)
        return listOf(
            chat("no key", "unauthenticated/not_run", body, key = null),
            chat("wrong scheme", "unauthenticated/not_run", body, key = "Basic $BEARER_KEY"),
            chat("empty key", "unauthenticated/not_run", body, key = "Bearer "),
            chat("unknown key", "unauthenticated/not_run", body, key = "Bearer unknown"),
            chat("two keys", "unauthenticated/not_run", body, "Authorization: Bearer $BEARER_KEY"),
            Case("model list without a key", "unauthenticated/not_run", rawRequest("GET", "/v1/models", emptyList())),
            Case(
                "order without a key of the organisation",
                "unauthenticated/not_run",
                rawRequest("POST", "/$ORDERS", listOf("Content-Length: 0")),
            ),
        )
    }

    private fun pathCases(): List<Case> =
        listOf(
            plain("unknown path", "unknown_path/not_run", "GET", "/nothing"),
            plain("no path", "unknown_path/not_run", "GET", "/"),
            plain("path of a model service", "unknown_path/not_run", "POST", "/$DRAFTS"),
            plain("two slashes", "unknown_path/not_run", "POST", "//"),
            plain("GET on the chat path", "invalid_request/not_run", "GET", CHAT),
            plain("DELETE on the chat path", "invalid_request/not_run", "DELETE", CHAT),
            plain("unsupported method", "invalid_request/not_run", "BREW", "/$ORDERS"),
            plain("POST on the model list", "unknown_path/not_run", "POST", "/v1/models"),
            plain("long path", "invalid_request/not_run", "GET", "/$ORDERS?" + "x".repeat(8_100) + "/..".repeat(10)),
        )

    private fun bodyCases(): List<Case> =
        listOf(
            chat("empty body", "invalid_request/not_run", ""),
            chat("body not JSON", "invalid_request/not_run", "draft, please"),
            chat("JSON of another form", "invalid_request/not_run", "[1, 2]"),
            chat("JSON that ends early", "invalid_request/not_run", """{"model":"draft","messages":["""),
            chat("deeply nested JSON", "invalid_request/not_run", """{"x":""" + "[".repeat(20_000)),
            Case(
                "body not UTF-8",
                "invalid_request/not_run",
                chatBytes(byteArrayOf(0x7b, 0x22, 0xff.toByte(), 0x22, 0x7d)),
            ),
            chat("no model", "invalid_request/not_run", """{"messages":[{"role":"user","content":"x"}]}"""),
            chat("unknown model", "unknown_model/not_run", chatBody("x", 2, false).replace(MODEL, "other")),
            chat("messages missing", "invalid_request/not_run", """{"model":"draft"}"""),
            chat("no messages", "invalid_request/not_run", """{"model":"draft","messages":[]}"""),
            chat(
                "message without content",
                "invalid_request/not_run",
                """{"model":"draft","messages":[{"role":"user"}]}""",
            ),
            chat("max_tokens 0", "invalid_request/not_run", chatBody("x", 0, false)),
            chat("max_tokens below 0", "invalid_request/not_run", chatBody("x", -1, true)),
            chat("max_tokens too large", "invalid_request/not_run", chatBody("x", 1_000_001, true)),
            chat(
                "max_tokens over 32 bits",
                "invalid_request/not_run",
                chatBody("x", 7, true).replace("7", "70000000000"),
            ),
        )

    private fun sizeCases(): List<Case> {
        val maxBody = SystemOptions().maxBody
        val chunk = "4000\r\n" + "x".repeat(0x4000) + "\r\n"
        val chunks = chunk.repeat(maxBody / 0x4000 + 1).encodeToByteArray()
        val headers = List(5) { "X-Filler-$it: " + "x".repeat(1_000) }
        return listOf(
            Case(
                "body too large by its length",
                "body_too_large/not_run",
                post(CHAT, listOf("Content-Length: ${maxBody + 1}")),
            ),
            Case(
                "body far too large by its length",
                "body_too_large/not_run",
                post("/$ORDERS", listOf("Content-Length: 99999999999")),
            ),
            Case(
                "body too large by chunks",
                "body_too_large/not_run",
                post(CHAT, listOf("Transfer-Encoding: chunked"), chunks),
            ),
            chat("headers too large", "headers_too_large/not_run", chatBody("x", 2, false), *headers.toTypedArray()),
        )
    }

    private fun orderCases(): List<Case> =
        listOf(
            order("deadline as text", "X-Deadline-Ms: soon"),
            order("deadline 0", "X-Deadline-Ms: 0"),
            order("deadline below 0", "X-Deadline-Ms: -5"),
            order("deadline too large", "X-Deadline-Ms: 3600001"),
            order("deadline over 64 bits", "X-Deadline-Ms: 99999999999999999999"),
            order("empty idempotency key", "Idempotency-Key:"),
            order("blank idempotency key", "Idempotency-Key:    "),
            order("overlong idempotency key", "Idempotency-Key: " + "k".repeat(256)),
        )

    private fun order(
        name: String,
        header: String,
    ): Case =
        Case(
            name,
            "invalid_request/not_run",
            post("/$ORDERS", listOf(header, "Content-Length: 2"), "{}".encodeToByteArray()),
        )

    private fun plain(
        name: String,
        expectedResult: String,
        method: String,
        path: String,
    ): Case =
        Case(
            name,
            expectedResult,
            rawRequest(method, path, listOf("Authorization: Bearer $BEARER_KEY", "Content-Length: 0")),
        )

    private fun chat(
        name: String,
        expectedResult: String,
        body: String,
        vararg headers: String,
        key: String? = "Bearer $BEARER_KEY",
    ): Case =
        Case(
            name,
            expectedResult,
            chatBytes(
                body.encodeToByteArray(),
                headers.toList() + listOfNotNull(key?.let { "Authorization: $it" }),
            ),
        )

    private fun chatBytes(
        body: ByteArray,
        headers: List<String> = listOf("Authorization: Bearer $BEARER_KEY"),
    ): ByteArray = rawRequest("POST", CHAT, headers + listOf("Content-Length: ${body.size}"), body)

    private fun post(
        path: String,
        headers: List<String>,
        body: ByteArray = ByteArray(0),
    ): ByteArray = rawRequest("POST", path, listOf("Authorization: Bearer $BEARER_KEY") + headers, body)
}
