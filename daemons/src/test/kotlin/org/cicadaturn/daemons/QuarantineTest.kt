package org.cicadaturn.daemons

import com.sun.net.httpserver.HttpServer
import org.cicadaturn.daemons.command.OutputFormat
import org.cicadaturn.daemons.command.REFUSED
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.daemons.command.StoreConnection
import org.cicadaturn.daemons.command.UNREACHABLE
import org.cicadaturn.schema.generated.NetworkAddress
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

/** Tests the operators' commands about prompt segments that are held back, against a store on loopback. */
class QuarantineTest {
    private val calls = CopyOnWriteArrayList<String>()
    private var answer = 200 to "{}"
    private val server =
        HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0).apply {
            createContext("/") { exchange ->
                calls += "${exchange.requestMethod} ${exchange.requestURI}"
                val bytes = answer.second.encodeToByteArray()
                exchange.sendResponseHeaders(answer.first, bytes.size.toLong())
                exchange.responseBody.use { it.write(bytes) }
            }
            start()
        }
    private val connection = StoreConnection(NetworkAddress("127.0.0.1", server.address.port), 2.seconds)

    @AfterEach
    fun close() = server.stop(0)

    /** Returns the exit code of [command] and what it printed. */
    private fun printed(command: () -> Int): Pair<Int, String> {
        val out = ByteArrayOutputStream()
        val before = System.out
        System.setOut(PrintStream(out, true))
        try {
            return command() to out.toString()
        } finally {
            System.setOut(before)
        }
    }

    /** Guards against a list that hides what is held back, since when and on what evidence. */
    @Test
    fun `the list shows segments with their evidence`() {
        val spec =
            """{"service":"draft","segment":"5c1e","confidence":0.987,"crashes":2,"servers":["i-1"],"since":60000}"""
        answer = 200 to """{"items":[{"metadata":{"name":"draft.5c1e"},"spec":$spec}],"truncated":false,"at":7}"""
        val (code, text) = printed { listQuarantine(connection, OutputFormat.TEXT) }
        assertEquals(SUCCESS, code)
        listOf("draft", "5c1e", "0.987", "2", "1970-01-01T00:01:00Z", "i-1").forEach { assertTrue(it in text, text) }
        val (_, json) = printed { listQuarantine(connection, OutputFormat.JSON) }
        assertTrue("\"segment\":\"5c1e\"" in json, json)
    }

    /** Guards against a request that is listed as a segment, or that cannot be released by the name in the list. */
    @Test
    fun `a request is listed with its kind and released by its name`() {
        val digest = "0123456789abcdef".repeat(4)
        val spec = """{"service":"draft","segment":"$digest","confidence":0.9,"crashes":1,"since":1,"isRequest":true}"""
        val metadata = """{"name":"draft.request-$digest"}"""
        answer = 200 to """{"items":[{"metadata":$metadata,"spec":$spec}],"truncated":false,"at":7}"""
        val (_, text) = printed { listQuarantine(connection, OutputFormat.TEXT) }
        assertTrue("request-$digest" in text, text)
        val (_, json) = printed { listQuarantine(connection, OutputFormat.JSON) }
        assertTrue("\"kind\":\"REQUEST\"" in json, json)
        calls.clear()
        answer = 200 to "{}"
        assertEquals(SUCCESS, printed { releaseSegment(connection, "draft", "request-$digest") }.first)
        assertEquals(listOf("DELETE /objects/quarantined-segments/draft.request-$digest"), calls)
    }

    /** Guards against a release of another segment, and against a failure that is reported as a release. */
    @Test
    fun `a release removes the entry of the segment`() {
        assertEquals(SUCCESS, printed { releaseSegment(connection, "draft", "5c1e") }.first)
        assertEquals(listOf("DELETE /objects/quarantined-segments/draft.5c1e"), calls)
        answer = 400 to "no"
        assertEquals(REFUSED, printed { releaseSegment(connection, "draft", "5c1e") }.first)
        answer = 503 to "no"
        assertEquals(UNREACHABLE, printed { releaseSegment(connection, "draft", "5c1e") }.first)
    }
}
