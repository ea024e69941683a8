package org.cicadaturn.daemons.crowd

import org.cicadaturn.daemons.site.SITE_HOST
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Tests that callers who announce long bodies and hardly send them leave memory to bodies of usual size. */
class LongBodyCrowdTest {
    /** Guards against a few callers who take all of the memory for bodies for as long as they like. */
    @Test
    fun `a body of 10 kB is served while others announce 4 MB and send a byte now and then`() {
        val head = "POST /status-read/1 HTTP/1.1\r\nHost: $SITE_HOST\r\nContent-Length: 4194304\r\n\r\n"
        val script = CrowdScript("long bodies", CROWD, head.encodeToByteArray(), byteArrayOf(0), drip = 20.milliseconds)
        CrowdedGateway().use { gateway ->
            gateway.start()
            assertTrue(gateway.isUploadServed(UPLOAD_BYTES, CALL_TIMEOUT), "upload before the crowd")
            Crowd(gateway.addresses.front, script).start().use {
                // The heads of the crowd take this time to arrive.
                Thread.sleep(HEAD_MILLIS)
                val start = TimeSource.Monotonic.markNow()
                val isServed =
                    generateSequence { gateway.isUploadServed(UPLOAD_BYTES, CALL_TIMEOUT) }
                        .takeWhile { start.elapsedNow() < LIMIT }
                        .any { it }
                assertTrue(isServed, "upload beside the crowd")
            }
        }
    }

    private companion object {
        const val CROWD = 50
        const val UPLOAD_BYTES = 10_000
        const val HEAD_MILLIS = 4_000L
        val CALL_TIMEOUT = 10.seconds
        val LIMIT = 30.seconds
    }
}
