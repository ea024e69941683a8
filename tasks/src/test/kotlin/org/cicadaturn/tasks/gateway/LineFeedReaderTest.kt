package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Tests the streams of callers that end lines with LF or CR LF only, as many clients do. */
class LineFeedReaderTest {
    /** Returns the identifiers of the pieces between blank lines of [body], empty for a piece without one. */
    private fun lineFeedReaderIds(body: String): List<String> =
        body
            .replace("\r\n", "\n")
            .split("\n\n")
            .filter { it.isNotEmpty() }
            .map { piece -> piece.split('\n').firstOrNull { it.startsWith("id:") }.orEmpty() }

    /** Guards against a piece without an id that only such a caller sees, as the gateway takes a CR as a line end. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "data: d3\rid: 3\r\rid: 4\ndata: d4\n\n",
            "id: 3\ndata: d3\r\rid: 4\rdata: d4\n\n",
            "id: 3\r\ndata: d3\r\r\nid: 4\r\ndata: d4\r\n\r\n",
        ],
    )
    fun `callers that do not split at CR get the same events as others`(unsound: String) {
        val events = event(1) + event(2) + unsound
        ScriptedEndpoint { r, out -> out.text(streamAnswer(r, "s", events)) }.use { endpoint ->
            TestGateway(listOf(endpoint)).use { gateway ->
                val answer = exchange(gateway.port, request("/stream/x"))
                assertEquals(200, answer.status)
                val ids = lineFeedReaderIds(answer.body)
                val byStandard =
                    StandardEventReader()
                        .read(
                            answer.body.encodeToByteArray(),
                        ).map { "id: ${it.lastEventId}" }
                val shown = answer.body.replace("\r", "<CR>")
                assertEquals(listOf("id: 1", "id: 2"), ids.take(2), shown)
                assertEquals(byStandard, ids, shown)
            }
        }
    }
}
