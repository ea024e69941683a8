package org.cicadaturn.tasks.gateway

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.double
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Tests which answers of an endpoint say something about its limit, as the state dump of a gateway shows it. */
class LimitedAnswersTest {
    /** Returns the limits in force that the state dump lists. */
    private fun limits(gateway: TestGateway): List<Double> {
        // The messages of the last answer may not have been handled yet.
        TimeUnit.MILLISECONDS.sleep(50)
        val dump = exchange(gateway.adminPort, "GET /dump HTTP/1.1\r\nHost: x\r\n\r\n").body
        val listed = Json.parseToJsonElement(dump).jsonObject.getValue("endpointLimits")
        return listed.jsonArray.map {
            it.jsonObject
                .getValue("perSecond")
                .jsonPrimitive.double
        }
    }

    private val self = GatewayPeer(ProcessId("g1"), NetworkAddress("127.0.0.1", 1), FailureDomainId("a"))

    private fun withGateway(
        script: (RawRequest, OutputStream) -> Boolean,
        check: (TestGateway) -> Unit,
    ) = ScriptedEndpoint(script).use { endpoint -> TestGateway(listOf(endpoint), peers = listOf(self)).use(check) }

    private fun answer(
        request: RawRequest,
        out: OutputStream,
        limit: String?,
    ): Boolean {
        val header = limit?.let { "X-Limit: $it\r\n" }.orEmpty()
        return out.text(okHead(request, "${header}Content-Length: 2") + "ok")
    }

    private fun send(
        gateway: TestGateway,
        id: String,
        path: String = "/once/x",
    ): RawAnswer = exchange(gateway.port, request(path, id = id))

    /** Guards against a limit that a success, a refusal or a failure names and that is not noticed. */
    @Test
    fun `a success, a refusal and a failure name a limit`() {
        val heads =
            mapOf(
                "success" to "200 OK\r\nX-Signature: s",
                "refusal" to "503 Full\r\nX-Not-Executed: 1",
                "failure" to "500 Broken",
                "rejection" to "404 Missing",
            )
        heads.forEach { (name, head) ->
            withGateway(
                { r, out -> out.text("HTTP/1.1 $head\r\nX-Id: ${r.id}\r\nX-Limit: 5\r\nContent-Length: 0\r\n\r\n") },
            ) {
                send(it, "r1")
                assertEquals(listOf(5.0), limits(it), name)
            }
        }
    }

    /** Guards against a limit that stays in force although the endpoint no longer names it. */
    @Test
    fun `an answer without a limit ends it, and one that cannot be read does not`() {
        val named = mapOf("r1" to "20", "r2" to "fast", "r3" to "30", "r5" to "fast")
        withGateway({ r, out -> answer(r, out, named[r.id]) }) { gateway ->
            val seen =
                (1..5).map { i ->
                    assertEquals(200, send(gateway, "r$i").status)
                    limits(gateway)
                }
            assertEquals(listOf(listOf(20.0), listOf(20.0), listOf(30.0), emptyList(), emptyList()), seen)
        }
    }

    /** Guards against bytes that are no answer to the request and end or begin a limit. */
    @Test
    fun `an answer to another request and one without a signature say nothing`() {
        val script: (RawRequest, OutputStream) -> Boolean = { r, out ->
            when (r.id) {
                "r1" -> answer(r, out, "20")
                "r2" -> out.text("HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok")
                "r3" -> out.text("HTTP/1.1 200 OK\r\nX-Id: r3\r\nX-Limit: 1\r\nContent-Length: 2\r\n\r\nok")
                else -> out.text("X-Limit: 1\r\n\r\n")
            }
            r.id == "r1"
        }
        withGateway(script) { gateway ->
            val seen = (1..4).map { send(gateway, "r$it").let { limits(gateway) } }
            assertEquals(List(4) { listOf(20.0) }, seen)
        }
    }

    /** Guards against another endpoint, which has got the address, that ends or names the limit of the intended one. */
    @Test
    fun `the answer to a misdirected request says nothing`() {
        val misdirected: (RawRequest, String) -> String = { r, header ->
            "HTTP/1.1 421 Misdirected\r\nX-Id: ${r.id}\r\nX-Not-Executed: 1\r\n${header}Content-Length: 0\r\n\r\n"
        }
        val script: (RawRequest, OutputStream) -> Boolean = { r, out ->
            when (r.id) {
                "r1" -> out.text(misdirected(r, "X-Limit: 1\r\n"))
                "r2" -> answer(r, out, "20")
                else -> out.text(misdirected(r, ""))
            }
        }
        withGateway(script) { gateway ->
            val seen = (1..3).map { send(gateway, "r$it").let { limits(gateway) } }
            assertEquals(listOf(emptyList(), listOf(20.0), listOf(20.0)), seen)
        }
    }

    /** Guards against an answer from before the limit that is read after a pause of the process and ends it. */
    @Test
    fun `an answer without a limit to an earlier request does not end it`() {
        val isNamed = CountDownLatch(1)
        val script: (RawRequest, OutputStream) -> Boolean = { r, out ->
            if (r.id == "r1") isNamed.await(5, TimeUnit.SECONDS)
            answer(r, out, if (r.id == "r1") null else "20")
        }
        withGateway(script) { gateway ->
            val early = thread { send(gateway, "r1") }
            TimeUnit.MILLISECONDS.sleep(200)
            assertEquals(200, send(gateway, "r2").status)
            isNamed.countDown()
            early.join()
            assertEquals(listOf(20.0), limits(gateway))
        }
    }

    /** Guards against a header that callers miss or that is believed to come from them. */
    @Test
    fun `the header goes on to callers and is not read from them`() {
        withGateway({ r, out -> answer(r, out, "20".takeIf { r.id == "r2" }) }) { gateway ->
            exchange(gateway.port, request("/once/x", "X-Limit: 1\r\n", id = "r1"))
            assertEquals(emptyList<Double>(), limits(gateway))
            assertTrue(send(gateway, "r2").head.contains("X-Limit: 20"))
        }
    }
}
