package org.cicadaturn.decisions.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout

class EventSplitterTimeTest {
    /**
     * Guards against an endpoint that occupies the gateway's thread by one long event in small chunks. The pending
     * bytes are at most 262,144.
     */
    @Test
    @Timeout(2)
    fun `the time for an event does not grow with the square of its length`() {
        val splitter = eventSplitter()
        repeat(262_144) { splitter.add(byteArrayOf('a'.code.toByte())) }
        assertEquals(262_144, splitter.pendingBytes)
    }
}
