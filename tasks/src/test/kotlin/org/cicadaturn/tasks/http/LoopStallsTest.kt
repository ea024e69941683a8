package org.cicadaturn.tasks.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Tests how long an event loop is known to have stood still. */
class LoopStallsTest {
    private val time = TestTimeSource()
    private val stalls = loopStalls(time)

    private fun tickAfter(
        pause: Duration,
        ticks: Int = 1,
    ) = repeat(ticks) {
        time += pause
        stalls.tick()
    }

    /** Guards against a pause that is not seen as the loop reads a connection before its timer runs. */
    @Test
    fun `a stall counts before the next tick`() {
        tickAfter(100.milliseconds)
        time += 1_600.milliseconds
        assertEquals(1_600.milliseconds, stalls.within(10.seconds))
    }

    /** Guards against a pause that is not seen as the timer of the loop runs before it reads a connection. */
    @Test
    fun `a stall counts for a second after the tick that ended it`() {
        tickAfter(100.milliseconds)
        tickAfter(1_600.milliseconds)
        tickAfter(100.milliseconds, ticks = 2)
        assertEquals(1_600.milliseconds, stalls.within(10.seconds))
        time += 700.milliseconds
        assertEquals(1_600.milliseconds, stalls.within(10.seconds))
        tickAfter(100.milliseconds, ticks = 2)
        assertEquals(800.milliseconds, stalls.within(10.seconds))
    }

    /** Guards against answers that count as cut at a loop that runs. */
    @Test
    fun `a loop that runs has no long stall`() {
        tickAfter(100.milliseconds, ticks = 30)
        assertEquals(100.milliseconds, stalls.within(10.seconds))
    }

    /** Guards against answers that count as cut for a pause before their requests were sent. */
    @Test
    fun `only the part of a stall that lies within the age counts`() {
        tickAfter(100.milliseconds)
        tickAfter(1_600.milliseconds)
        time += 50.milliseconds
        assertEquals(50.milliseconds, stalls.within(50.milliseconds))
        assertEquals(250.milliseconds, stalls.within(300.milliseconds))
    }
}
