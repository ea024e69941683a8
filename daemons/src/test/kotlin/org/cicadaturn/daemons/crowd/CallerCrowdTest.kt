package org.cicadaturn.daemons.crowd

import org.cicadaturn.daemons.site.SITE_HOST
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.milliseconds

/** Tests that callers outside any control neither end nor block a gateway process. */
internal class CallerCrowdTest {
    /** Guards against a crowd that fills the heap, leaves connections behind or stops the event loop. */
    @ParameterizedTest
    @MethodSource("scripts")
    fun `a crowd leaves a process that serves`(script: CrowdScript) =
        CrowdCheck.run(script, CrowdedGateway()) { it.addresses.front }

    companion object {
        private const val SMALL = 200
        private const val LARGE = 1_000
        private const val NOWHERE = "GET /nowhere HTTP/1.1\r\nHost: $SITE_HOST\r\n"
        private const val POST = "POST /status-read/1 HTTP/1.1\r\nHost: $SITE_HOST\r\n"
        private const val CHUNKED = "${POST}Transfer-Encoding: chunked\r\n\r\n"

        private fun bytes(text: String): ByteArray = text.encodeToByteArray()

        @JvmStatic
        fun scripts(): List<CrowdScript> =
            CrowdCheck.chosenOf(requestsAhead() + longHeads() + bodies() + lines() + connections())

        private fun requestsAhead(): List<CrowdScript> =
            listOf(
                ahead("requests ahead, unread", "$NOWHERE\r\n"),
                ahead("requests ahead with a body, unread", "${NOWHERE}Content-Length: 10\r\n\r\n0123456789"),
                ahead("requests ahead with 2,600 short lines, unread", NOWHERE + "a:\r\n".repeat(2_600) + "\r\n"),
                ahead(
                    "requests ahead that expect 100, without a key, unread",
                    "${POST}Expect: 100-continue\r\nContent-Length: 1\r\n\r\n0",
                ),
                ahead("admitted requests ahead, unread", ordinaryRequest().decodeToString()),
            )

        private fun longHeads(): List<CrowdScript> {
            val legal = POST + "Content-Length: 10\r\n" + "a:\r\n".repeat(3_900)
            return listOf(
                CrowdScript("legal head of 3,900 lines, body never sent", LARGE, bytes("$legal\r\n")),
                CrowdScript("legal head of 3,900 lines that never ends", LARGE, bytes(legal)),
                CrowdScript("head without end", SMALL, bytes(POST), bytes("a:\r\n".repeat(900))),
                CrowdScript("head a byte at a time", SMALL, bytes(POST), bytes("a:\r\n"), drip = 20.milliseconds),
                ahead("heads with odd lines", "$POST:\r\n=\r\n\t:\t\r\n \r\n\u0000:\r\n\r\n"),
            )
        }

        private fun bodies(): List<CrowdScript> =
            listOf(
                CrowdScript("chunks of one byte", SMALL, bytes(CHUNKED), bytes("1\r\na\r\n".repeat(1_000))),
                CrowdScript(
                    "trailers without end",
                    SMALL,
                    bytes("${CHUNKED}0\r\n"),
                    bytes("a:\r\n".repeat(900)),
                ),
                CrowdScript("chunk extension without end", SMALL, bytes("${CHUNKED}1;"), bytes("a".repeat(4_000))),
            )

        private fun lines(): List<CrowdScript> =
            listOf(
                CrowdScript("request line without end", SMALL, bytes("GET /"), bytes("a".repeat(4_000))),
                CrowdScript("folded lines without end", SMALL, bytes("${POST}a: b\r\n"), bytes(" c\r\n".repeat(900))),
                CrowdScript("empty lines without end", SMALL, ByteArray(0), bytes("\r\n".repeat(2_000))),
                CrowdScript(
                    "empty lines one at a time",
                    SMALL,
                    ByteArray(0),
                    bytes("\r\n"),
                    drip = 20.milliseconds,
                ),
            )

        private fun connections(): List<CrowdScript> =
            listOf(
                CrowdScript("connections without bytes", LARGE, ByteArray(0)),
                CrowdScript("connections that are reset", SMALL, bytes("GET"), isReset = true),
            )

        private fun ahead(
            name: String,
            request: String,
        ) = CrowdScript(name, SMALL, bytes(request.repeat(1 + AHEAD_BYTES / request.length)), bytes(request.repeat(8)))

        private const val AHEAD_BYTES = 16_384
    }
}
