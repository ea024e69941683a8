package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Tests the streams of callers that end lines with LF or CR LF only, as many clients do. */
class LineFeedReaderTest {
    /** Guards against a piece without an id that only such a caller sees, as the gateway takes a CR as a line end. */
    @ParameterizedTest
    @ValueSource(strings = ["data: d1\rid: 1\r\rid: 2\ndata: d2\n\n", "id: 1\ndata: d1\r\rid: 2\rdata: d2\n\n"])
    fun `callers that do not split at CR get the same events as others`(events: String) {
        ScriptedEndpoint { r, out -> out.text(streamAnswer(r, "s", events)) }.use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                if (answer.status != 200) return
                val body = answer.body
                val pieces = body.replace("\r\n", "\n").split("\n\n").filter { it.isNotEmpty() }
                val ids = pieces.map { piece -> piece.split('\n').firstOrNull { it.startsWith("id:") }.orEmpty() }
                val byStandard = StandardEventReader().read(body.encodeToByteArray()).map { "id: ${it.lastEventId}" }
                assertEquals(byStandard, ids, body.replace("\r", "<CR>"))
            }
        }
    }
}
