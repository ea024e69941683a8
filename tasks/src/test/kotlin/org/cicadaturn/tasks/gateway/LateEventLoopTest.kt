package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.TimeUnit
import kotlin.coroutines.EmptyCoroutineContext

/** Tests over sockets what becomes of an endpoint that has answered while the event loop of the gateway was late. */
class LateEventLoopTest {
    /** Guards against endpoints that are given up, or requests that are sent twice, because a timer runs before a read. */
    @Test
    fun `an answer that waits to be read is no silence`() {
        lateinit var gateway: TestGateway
        val body = event(1)
        val endpoints =
            List(2) {
                ScriptedEndpoint { r, out ->
                    // The time of the first answer is over before the loop can read it.
                    gateway.runtime.dispatcher.dispatch(EmptyCoroutineContext) { Thread.sleep(LATE_MILLIS) }
                    TimeUnit.MILLISECONDS.sleep(ANSWER_MILLIS)
                    out.text(okHead(r, "Content-Type: text/event-stream\r\nContent-Length: ${body.length}") + body)
                }
            }
        gateway = TestGateway(endpoints)
        gateway.use {
            val answer = exchange(it.port, request("/stream/x", "X-Deadline: 2900\r\n", id = "a"))
            assertEquals(200 to body, answer.status to answer.body)
            assertEquals(1, endpoints.sumOf { e -> e.requests.size }, "endpoints that got the request")
        }
        endpoints.forEach { it.close() }
    }

    private companion object {
        const val ANSWER_MILLIS = 100L

        /** Longer than the silence after which another endpoint gets the request too. */
        const val LATE_MILLIS = 1_900L
    }
}
