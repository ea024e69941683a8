package org.cicadaturn.daemons.system

import org.cicadaturn.schema.generated.NetworkAddress
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket

/** Sends requests to the callers' listener of an entry process, without a client library. */
internal class CallerInterfaceTest {
    private fun withOrders(
        answers: Map<String, ByteArray> = emptyMap(),
        test: (NetworkAddress, ScriptedBackend) -> Unit,
    ) = ScriptedBackend(answers).use { backend ->
        val endpoint = EndpointOptions("orders-1", "fd-1", Backend.Scripted(ORDERS, backend.address))
        withSystem(SystemOptions(listOf(endpoint), listOf(EntryOptions("entry-1", "fd-1")))) {
            test(it.entry("entry-1"), backend)
        }
    }

    private fun order(
        name: String,
        vararg headers: String,
    ): String = plainRequest("POST", "/$ORDERS", "#$name#", listOf("Authorization: Bearer $BEARER_KEY") + headers)

    private val booked = scriptedAnswer("booked".encodeToByteArray(), Framing.LENGTH)

    /** Guards against a connection that ends with a refusal whose request was read completely. */
    @Test
    fun `a connection serves further requests after an answer and after a refusal`() =
        withOrders(mapOf("a" to booked)) { entry, _ ->
            val requests =
                arrayOf(
                    order("a"),
                    plainRequest("GET", "/nowhere"),
                    plainRequest("POST", "/nowhere", "x"),
                    plainRequest("GET", "/v1/models", headers = listOf("Authorization: Bearer $BEARER_KEY")),
                    order("a"),
                )
            val answers = rawAnswers(entry, *requests)
            assertEquals(listOf(200, 401, 401, 200, 200), answers.map { it.status })
            assertEquals(listOf("booked", "booked"), listOf(answers.first(), answers.last()).map { it.body })
            assertEquals(
                listOf(null, "application/json", "application/json"),
                listOf(0, 1, 3).map { answers[it].headers["content-type"] },
            )
            assertTrue(answers.all { !it.headers["x-request-id"].isNullOrEmpty() || it === answers[3] })
        }

    /** Guards against a caller that waits for the interim answer before it sends its body, and gets none. */
    @Test
    fun `a body that is announced is asked for`() =
        withOrders { entry, _ ->
            Socket(entry.ip, entry.port).use { socket ->
                socket.soTimeout = HANG_TIMEOUT.inWholeMilliseconds.toInt()
                val headers = listOf("Expect: 100-continue", "Connection: close")
                val (head, body) = plainRequest("POST", "/nowhere", "x", headers).split("\r\n\r\n")
                socket.getOutputStream().write("$head\r\n\r\n".encodeToByteArray())
                val input = socket.getInputStream()
                val interim = input.readNBytes("HTTP/1.1 100 Continue\r\n\r\n".length).decodeToString()
                assertEquals("HTTP/1.1 100 Continue\r\n\r\n", interim)
                socket.getOutputStream().write(body.encodeToByteArray())
                assertTrue(input.readAllBytes().decodeToString().startsWith("HTTP/1.1 401 "))
            }
        }

    /** Guards against bytes of header values that change on their way from a back end to a caller. */
    @Test
    fun `header values in UTF-8 reach the caller as they are`() {
        val answer = scriptedAnswer("booked".encodeToByteArray(), Framing.LENGTH, listOf("X-Name: grün"))
        withOrders(mapOf("a" to answer)) { entry, _ ->
            // The reader of the answer has one character for each byte.
            val bytes = String("grün".encodeToByteArray(), Charsets.ISO_8859_1)
            assertEquals(bytes, rawAnswers(entry, order("a")).single().headers["x-name"])
        }
    }
}
