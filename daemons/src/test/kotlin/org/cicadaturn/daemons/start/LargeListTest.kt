package org.cicadaturn.daemons.start

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean

/** Starts a gateway with the heap of `deploy/system.toml` whose store has large entries of another writer. */
class LargeListTest {
    @TempDir
    lateinit var directory: Path

    private val isWatched = AtomicBoolean()

    /** Guards against a few entries of another writer that fill the heap of every gateway at each of its starts. */
    @Test
    fun `pages of entries that cannot be read do not end a gateway`() {
        val store = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
        store.executor = Executors.newCachedThreadPool()
        store.createContext("/objects/") { answer(it) }
        store.start()
        try {
            StartedProcess(TestRole.GATEWAY, directory, store = "127.0.0.1:${store.address.port}").use { process ->
                process.awaitAlive("a watch behind the last page") { isWatched.get() }
                process.signal("TERM")
                assertEquals(0, process.awaitEnd(), "${process.lines()}")
            }
        } finally {
            store.stop(0)
        }
    }

    private fun answer(call: HttpExchange) {
        val query = call.requestURI.query.orEmpty()
        val isServers = call.requestURI.path == "/objects/servers"
        if (isServers && query.startsWith("watch=")) isWatched.set(true)
        // A watch that is answered at once would be repeated at once.
        if (query.startsWith("watch=")) Thread.sleep(WATCH_MILLIS)
        val body = if (isServers && !query.startsWith("watch=")) page(query) else """{"items":[],"events":[],"at":9}"""
        call.responseHeaders.add("Content-Type", "application/json")
        call.sendResponseHeaders(OK, body.length.toLong())
        call.responseBody.use { it.write(body.encodeToByteArray()) }
    }

    private fun page(query: String): String {
        val number = query.substringAfter("after=odd-", "0").toInt() + 1
        val spec = "[" + "1,".repeat(VALUES) + "1]"
        val item = """{"metadata":{"name":"odd-$number","revision":$number},"spec":$spec}"""
        return """{"items":[$item],"truncated":${number < PAGES},"at":9}"""
    }

    private companion object {
        const val OK = 200
        const val PAGES = 3
        const val WATCH_MILLIS = 300L

        /** Half of the values that a page of 1 MB may hold. */
        const val VALUES = 250_000
    }
}
