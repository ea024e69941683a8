package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream

/** Tests which endpoints survive requests with a prompt segment that crashes every endpoint that begins to answer it. */
class CrashingRequestTest {
    /** Endpoints that end, with all of their connections, as they begin to answer a request with [DEADLY]. */
    private class FragileFleet(
        size: Int,
    ) : AutoCloseable {
        val endpoints: List<ScriptedEndpoint> = List(size) { i -> ScriptedEndpoint { r, out -> answer(i, r, out) } }
        private val crashed = java.util.concurrent.CopyOnWriteArraySet<Int>()
        val crashes: Int get() = crashed.size

        private fun answer(
            index: Int,
            request: RawRequest,
            out: OutputStream,
        ): Boolean {
            val head =
                "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\n"
            out.write(head.encodeToByteArray())
            out.flush()
            if (DEADLY in request.header("X-Prompt").orEmpty().split(' ')) {
                crashed += index
                endpoints[index].close()
                return false
            }
            out.write("f\r\nid: 1\ndata: d\n\n\r\n0\r\n\r\n".encodeToByteArray())
            return false
        }

        override fun close() = endpoints.forEach { it.close() }
    }

    private fun send(
        gateway: TestGateway,
        id: String,
        prompt: String,
    ): RawAnswer =
        exchange(
            gateway.port,
            "POST /stream/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: $id\r\nAuthorization: Bearer key\r\n" +
                "X-Prompt: $prompt\r\nContent-Length: 2\r\n\r\nhi",
        )

    /** Guards against requests of one kind that crash endpoints one after the other, and against losing their company. */
    @Test
    fun `a prompt segment that crashes endpoints is held back after three crashes`() {
        FragileFleet(size = 10).use { fleet ->
            TestGateway(fleet.endpoints).use { gateway ->
                repeat(12) { send(gateway, "bad$it", "shared $DEADLY own$it") }
                assertTrue(fleet.crashes <= 3, "${fleet.crashes} of 10 endpoints crashed")
                val sound = send(gateway, "sound", "shared own")
                assertEquals(200, sound.status)
                assertEquals("id: 1\ndata: d\n\n", sound.body)
            }
        }
    }

    private companion object {
        const val DEADLY = "deadly"
    }
}
