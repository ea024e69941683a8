package org.cicadaturn.daemons.crowd

import org.junit.jupiter.api.Tag
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource

/** Tests that connections outside any control neither end nor block an entry process. */
internal class EntryCrowdTest {
    /** Guards against a listener of an entry process that a crowd ends or blocks. */
    @ParameterizedTest
    @MethodSource("scripts")
    fun `a crowd leaves an entry process that serves`(
        script: CrowdScript,
        listener: String,
    ) = CrowdCheck.run(script, CrowdedEntry()) { it.portOf(listener) }

    /** Guards against the same; this script ends the process and has its line in KNOWN-RED.txt. */
    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("knownRedScripts")
    fun `a crowd that sends without a pause leaves an entry process that serves`(
        script: CrowdScript,
        listener: String,
    ) = CrowdCheck.run(script, CrowdedEntry()) { it.portOf(listener) }

    companion object {
        private const val SMALL = 200
        private const val LARGE = 1_000
        private const val POST = "POST /nowhere HTTP/1.1\r\nHost: x\r\n"
        private const val CHUNKED = "${POST}Transfer-Encoding: chunked\r\n\r\n"
        private val short = "a:\r\n".repeat(900)

        private fun script(
            name: String,
            opening: String,
            repeated: String = "",
            size: Int = SMALL,
        ) = CrowdScript(name, size, opening.encodeToByteArray(), repeated.encodeToByteArray())

        private fun http(listener: String): List<Pair<CrowdScript, String>> {
            val ahead = "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n"
            val bodyHead = "${POST}Content-Length: 900000\r\n\r\n"
            val longHead = POST + "a:\r\n".repeat(1_900)
            return listOf(
                script("$listener: requests ahead, unread", ahead, ahead.repeat(100)),
                script(
                    "$listener: head of 1,900 lines, body never sent",
                    "${longHead}Content-Length: 9\r\n\r\n",
                    size = LARGE,
                ),
                script("$listener: head of 1,900 lines that never ends", longHead, size = LARGE),
                script("$listener: head without end", POST, short),
                script("$listener: request line without end", "GET /", "a".repeat(4_000)),
                script("$listener: chunks of one byte", CHUNKED, "1\r\na\r\n".repeat(1_000)),
                script("$listener: trailers without end", "${CHUNKED}0\r\n", short),
                script("$listener: empty lines without end", "", "\r\n".repeat(2_000)),
                script("$listener: connections without bytes", "", size = LARGE),
                script("$listener: bodies of 900 kB ahead, unread", bodyHead, "a".repeat(900_000) + bodyHead),
            ).map { it to listener }
        }

        /** Guards against documents that are built for clients who do not read them. */
        private fun documents(): List<Pair<CrowdScript, String>> {
            val ahead = "GET /dump HTTP/1.1\r\nHost: x\r\n\r\n"
            return listOf(script("admin: requests ahead for /dump, unread", ahead, ahead.repeat(100)) to "admin")
        }

        private fun wire(): List<Pair<CrowdScript, String>> =
            listOf(
                script("peer: frame of 4,096 bytes that never ends", "\u0000\u0000\u000f\u0000", size = LARGE),
                script("peer: bytes without end", "\u0000\u0000\u0001\u0000", "a".repeat(4_000)),
            ).map { it to "peer" }

        private val knownRed = setOf("peer: bytes without end")

        @JvmStatic
        fun scripts(): List<Arguments> = argumentsOf { it.name !in knownRed }

        @JvmStatic
        fun knownRedScripts(): List<Arguments> = argumentsOf { it.name in knownRed }

        private fun argumentsOf(filter: (CrowdScript) -> Boolean): List<Arguments> {
            val all = (http("listen") + http("admin") + documents() + wire()).filter { filter(it.first) }
            val chosen = CrowdCheck.chosenOf(all.map { it.first }).toSet()
            return all.filter { it.first in chosen }.map { (script, listener) -> Arguments.of(script, listener) }
        }
    }
}
