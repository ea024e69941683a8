package org.cicadaturn.daemons.crowd

import org.cicadaturn.daemons.site.DEMANDS
import org.cicadaturn.daemons.site.SITE_HOST
import org.cicadaturn.daemons.site.keyOf
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Tests that what a faulty endpoint sends to many requests at once neither ends nor blocks a gateway process. */
internal class EndpointAnswerCrowdTest {
    /** Guards against answers that become much larger when they are decoded, and against those that do not end. */
    @ParameterizedTest
    @MethodSource("answers")
    fun `faulty answers leave a process that serves`(answer: CrowdScript) {
        val script = CrowdScript(answer.name, answer.size, request.repeat(2).encodeToByteArray())
        CrowdCheck.run(script, CrowdedGateway(faultyAnswer = answer)) { it.addresses.front }
    }

    companion object {
        private const val SMALL = 200
        private val request =
            "POST ${DEMANDS.first().prefix}1 HTTP/1.1\r\nHost: $SITE_HOST\r\nCicadaturn-Request-Id: r1\r\n" +
                "Cicadaturn-Deadline-Ms: 8000\r\nAuthorization: Bearer ${keyOf(1)}\r\nContent-Length: 0\r\n\r\n"
        private const val STATUS = "HTTP/1.1 200 OK\r\nCicadaturn-Request-Id: r1\r\n"
        private const val EVENTS = "${STATUS}Cicadaturn-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
        private const val CHUNKED = "${EVENTS}Transfer-Encoding: chunked\r\n\r\n"

        private fun answer(
            name: String,
            opening: String,
            repeated: String = "",
        ) = CrowdScript(name, SMALL, opening.encodeToByteArray(), repeated.encodeToByteArray())

        @JvmStatic
        fun answers(): List<CrowdScript> =
            CrowdCheck.chosenOf(
                listOf(
                    answer("answer with a head of 7,000 lines that never ends", STATUS + "a:\r\n".repeat(7_000)),
                    answer("answer with a head of 7,000 lines and no body", STATUS + "a:\r\n".repeat(7_000) + "\r\n"),
                    answer("answer with a head without end", STATUS, "a:\r\n".repeat(900)),
                    answer("informational answers without end", "", "HTTP/1.1 103 X\r\n\r\n".repeat(200)),
                    answer("answer with trailers without end", "${CHUNKED}0\r\n", "a:\r\n".repeat(900)),
                    answer("answer with chunks of one byte", CHUNKED, "1\r\na\r\n".repeat(1_000)),
                    answer("answer with empty lines without end", "", "\r\n".repeat(2_000)),
                ),
            )
    }
}
