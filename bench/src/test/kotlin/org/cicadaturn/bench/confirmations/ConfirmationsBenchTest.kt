package org.cicadaturn.bench.confirmations

import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.ConfirmationLoadReport
import org.cicadaturn.schema.generated.ConfirmationsBenchOptions
import org.cicadaturn.schema.generated.ConfirmationsBenchResult
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

class ConfirmationsBenchTest {
    private val options =
        ConfirmationsBenchOptions(histories = 50, rates = listOf(50, 500), loadTime = 9.seconds, storedRecords = 20)

    /** Guards against results that differ between runs with the same options. */
    @Test
    fun `the result depends only on the options`() {
        val result = confirmationsBench(options)
        assertEquals(result, confirmationsBench(options))
        assertNotEquals(result.faults, confirmationsBench(options.copy(seed = 2, rates = emptyList())).faults)
        assertEquals(result, Json.decodeFromString<ConfirmationsBenchResult>(result.toJson()))
        assertTrue(result.isClean())
        assertTrue("false not_run (0)                  0" in result.toText(), result.toText())
    }

    /**
     * Guards against more writes than the store of the platform accepts, and against refused or unanswered
     * confirmations in the absence of faults. The bound of 350 writes/s is the paced rate of 320/s and the burst
     * of each shard.
     */
    @Test
    fun `default pacing keeps writes below the bound at 500 confirmations a second`() {
        val load = LoadRun(options, loadCases(rate = 500)[1]).run()
        assertEquals(load.requests, load.done)
        assertTrue(load.writesPerSecond <= 350, load.toString())
        assertTrue(load.p99Millis < 1_000, load.toString())
    }

    /**
     * Guards against calls that run during a store outage, and against repeats of finished confirmations without
     * an answer.
     */
    @Test
    fun `during a store outage only repeats of finished confirmations are answered`() {
        val load: ConfirmationLoadReport = LoadRun(options, loadCases(rate = 50).last()).run()
        assertTrue(load.done in 1 until load.requests / 3, load.toString())
        assertEquals(load.requests, load.done + load.toldUnknown)
        assertTrue(load.p99Millis < 1_000, load.toString())
    }
}
