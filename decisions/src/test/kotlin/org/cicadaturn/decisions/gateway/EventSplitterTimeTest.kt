package org.cicadaturn.decisions.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.measureTime

class EventSplitterTimeTest {
    /** Returns the time in which a splitter takes [length] bytes of one event, one by one. */
    private fun timeFor(length: Int): Duration {
        val splitter = eventSplitter()
        val piece = byteArrayOf('a'.code.toByte())
        val time = measureTime { repeat(length) { splitter.add(piece) } }
        assertEquals(length, splitter.pendingBytes)
        return time
    }

    /**
     * Guards against an endpoint that occupies the gateway's thread by one long event in small chunks. The pending
     * bytes are at most 262,144.
     *
     * An event that is 64 times as long takes 64 times as long in linear time, and 4,096 times in quadratic time. The
     * bound is the geometric mean of both; the shortest of several times is free of the pauses of a busy machine.
     */
    @Test
    fun `the time for an event does not grow with the square of its length`() {
        repeat(WARM_UP) { timeFor(SHORT) }
        val times = List(RUNS) { List(SHORT_RUNS) { timeFor(SHORT) }.min() to timeFor(SHORT * FACTOR) }
        val ratio = times.minOf { it.second } / times.minOf { it.first }
        assertTrue(ratio < FACTOR * 8, "an event that is $FACTOR times as long takes $ratio times as long")
    }

    private companion object {
        const val SHORT = 4_096
        const val FACTOR = 64
        const val WARM_UP = 50
        const val RUNS = 5
        const val SHORT_RUNS = 20
    }
}
