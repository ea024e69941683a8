package org.cicadaturn.daemons.crowd

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.cicadaturn.daemons.site.ENGINE_SERVICE
import org.cicadaturn.daemons.site.LoopbackServer
import org.cicadaturn.daemons.site.ObjectKey
import org.cicadaturn.daemons.site.SERVERS
import org.cicadaturn.daemons.site.StoreServer
import org.cicadaturn.daemons.site.ZONES
import org.cicadaturn.daemons.site.readRequest
import org.cicadaturn.daemons.site.write
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds

/** Endpoint of the service of streams that sends [answer] in place of each answer. */
internal class FaultyEndpoint(
    private val answer: CrowdScript,
    private val store: StoreServer,
    private val scope: CoroutineScope,
) {
    private val server = LoopbackServer(scope, ::serve)

    fun start() {
        server.start()
        scope.launch {
            var sequence = 0
            while (true) {
                val entry = Json.parseToJsonElement(entry(sequence++))
                store.update { it.write(ObjectKey(SERVERS, "i-faulty"), entry) }
                delay(HEARTBEAT)
            }
        }
    }

    private fun entry(sequence: Int): String =
        """{"service":"$ENGINE_SERVICE","address":"${server.address}","zone":"${ZONES[0]}","version":"v1",""" +
            """"slots":400,"state":"ready","cold_remaining_ms":0,"sequence":$sequence,"born":1}"""

    private suspend fun serve(socket: Socket) {
        socket.getInputStream().buffered().readRequest() ?: return
        val out = socket.getOutputStream()
        out.write(answer.opening)
        while (answer.repeated.isNotEmpty()) out.write(answer.repeated)
        delay(SILENCE)
    }

    private companion object {
        val HEARTBEAT = 1_200.milliseconds

        /** Longer than any test. */
        val SILENCE = 600_000.milliseconds
    }
}
