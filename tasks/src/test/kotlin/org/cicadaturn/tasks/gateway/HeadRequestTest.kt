package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.net.Socket

/** Tests the answers to requests with the method HEAD, which have no body. */
class HeadRequestTest {
    /** Guards against bytes behind the answer, which the caller takes as the beginning of the next one. */
    @ParameterizedTest
    @ValueSource(strings = ["/stream/x", "/safe/x", "/nowhere/x"])
    fun `an answer to HEAD ends with its head`(path: String) {
        ScriptedEndpoint { r, out ->
            out.text(okHead(r, "Content-Type: text/event-stream\r\nContent-Length: 5"))
        }.use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                Socket("127.0.0.1", gateway.port).use { socket ->
                    socket.soTimeout = 10_000
                    val headers = "Host: shop.example\r\nX-Id: r1\r\nAuthorization: Bearer key\r\nConnection: close"
                    socket.getOutputStream().write("HEAD $path HTTP/1.1\r\n$headers\r\n\r\n".encodeToByteArray())
                    val answer = socket.getInputStream().readAllBytes().decodeToString()
                    assertEquals("", answer.substringAfter("\r\n\r\n"), answer)
                }
            }
        }
    }
}
