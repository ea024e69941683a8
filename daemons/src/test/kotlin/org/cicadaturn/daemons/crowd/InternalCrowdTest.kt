package org.cicadaturn.daemons.crowd

import org.cicadaturn.daemons.site.GatewayAddresses
import org.cicadaturn.daemons.site.siteConfiguration
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource

/** Tests the listeners of a gateway for the platform, peers and operators, each of which reads from sockets as well. */
internal class InternalCrowdTest {
    /** Guards against a listener without the limits that the listener for callers has. */
    @ParameterizedTest
    @MethodSource("scripts")
    fun `a crowd at another listener leaves a process that serves`(
        script: CrowdScript,
        listener: Listener,
    ) = CrowdCheck.run(script, CrowdedGateway(siteConfiguration(version = 1, extraRoutes = 500))) {
        listener.portOf(it.addresses)
    }

    /** Listener of a gateway. */
    enum class Listener(
        val portOf: (GatewayAddresses) -> Int,
    ) {
        READY({ it.ready }),
        PEERS({ it.control }),
        ADMIN({ it.admin }),
    }

    companion object {
        private const val SMALL = 200
        private const val LARGE = 1_000

        private fun head(path: String) = "GET $path HTTP/1.1\r\nHost: x\r\n"

        private fun ahead(path: String): CrowdScript {
            val request = "${head(path)}\r\n"
            val name = "requests ahead for $path, unread"
            return CrowdScript(name, SMALL, request.encodeToByteArray(), request.repeat(100).encodeToByteArray())
        }

        private fun forAll(script: CrowdScript) = Listener.entries.map { it to script }

        @JvmStatic
        fun scripts(): List<Arguments> {
            val lines = "a:\r\n".repeat(3_900)
            val upload = "POST /limits HTTP/1.1\r\nHost: x\r\nContent-Length: 262144\r\n\r\n" + "a".repeat(250_000)
            val scripts =
                listOf(
                    Listener.ADMIN to ahead("/dump"),
                    Listener.ADMIN to ahead("/metrics"),
                    Listener.PEERS to ahead("/fleet"),
                    Listener.READY to ahead("/ready"),
                    Listener.PEERS to CrowdScript("body that does not end", LARGE, upload.encodeToByteArray()),
                ) + forAll(CrowdScript("head of 3,900 lines", LARGE, (head("/ready") + lines).encodeToByteArray())) +
                    forAll(CrowdScript("connections that send nothing", LARGE, ByteArray(0)))
            return CrowdCheck.chosenOf(scripts.map { it.second }).toSet().let { chosen ->
                scripts.filter { it.second in chosen }.map { (listener, script) -> Arguments.of(script, listener) }
            }
        }
    }
}
