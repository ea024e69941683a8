package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class BodyMemoryTest {
    private val memory = BodyMemory(1_000_000)

    /** Guards against usual requests, and refusals by endpoints, that fail because others upload large bodies. */
    @Test
    fun `a small body needs no memory while large ones use it up and wait for it`() =
        runTest {
            val large = memory.reservation()
            assertTrue(large.tryGrowTo(1_000_000))
            // Large bodies leave a quarter, which those of usual size can use up.
            val usual = List(4) { memory.reservation() }
            usual.forEach { assertTrue(it.tryGrowTo(61_000)) }
            val waiting = async { memory.reservation().use { it.growTo(500_000, 1.seconds) } }
            delay(10.milliseconds)
            memory.reservation().use { small ->
                assertTrue(small.tryGrowTo(4_096))
                assertTrue(small.growTo(4_096, 1.seconds))
                assertEquals(10, currentTime)
                assertFalse(small.tryGrowTo(4_097))
            }
            assertFalse(waiting.await())
        }

    /** Guards against a few large bodies that take the memory of all others for as long as they last. */
    @Test
    fun `large bodies leave memory to those of usual size and get it back`() =
        runTest {
            val large = memory.reservation()
            assertTrue(large.tryGrowTo(1_000_000))
            memory.reservation().use { assertFalse(it.tryGrowTo(70_000)) }
            memory.reservation().use { assertTrue(it.growTo(60_000, 1.seconds)) }
            large.close()
            memory.reservation().use { assertTrue(it.tryGrowTo(700_000)) }
        }

    /** Guards against two bodies that each hold a part of the memory and wait for the rest. */
    @Test
    fun `bodies that wait get their memory one after the other`() =
        runTest {
            val first = memory.reservation()
            assertTrue(first.tryGrowTo(700_000))
            val others = List(2) { async { memory.reservation().use { it.growTo(700_000, 1.seconds) } } }
            delay(100.milliseconds)
            first.close()
            others.forEach { assertTrue(it.await()) }
        }

    /** Guards against memory that is lost when a body has waited for it in vain. */
    @Test
    fun `memory is complete again after a wait in vain`() =
        runTest {
            val first = memory.reservation()
            assertTrue(first.tryGrowTo(700_000))
            memory.reservation().use { assertFalse(it.growTo(700_000, 100.milliseconds)) }
            first.close()
            memory.reservation().use { assertTrue(it.tryGrowTo(990_000)) }
        }
}
