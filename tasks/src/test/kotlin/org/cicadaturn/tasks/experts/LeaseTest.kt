package org.cicadaturn.tasks.experts

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.tasks.gateway.StoredLease
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeaseTest {
    /** Guards against groups that no process balances for a second after a restart of the holder. */
    @Test
    fun `a restarted holder reacquires its lease immediately`() =
        runTest {
            val shared =
                SharedLease(
                    this,
                    Random(1),
                    StoredLease(LeaseRecord(ProcessId("a"), 3, 40), StorePosition(0, 7)),
                )
            val lease = leaseOf("a", LeaseStore(shared, 0))
            delay(300.milliseconds)
            assertEquals(4L, lease.token())
            val other = leaseOf("b", LeaseStore(shared, 1))
            delay(5.seconds)
            assertNull(other.token())
        }

    /** Guards against groups that no process balances while a stopping holder finishes its requests. */
    @Test
    fun `a lease is released once the store is available, and taken over immediately`() =
        runTest {
            val shared = SharedLease(this, Random(1))
            val first = leaseOf("a", LeaseStore(shared, 0))
            delay(300.milliseconds)
            val second = leaseOf("b", LeaseStore(shared, 1), takeoverDelay = 1.seconds)
            delay(1.seconds)
            shared.cutOff = setOf(0)
            delay(600.milliseconds)
            first.release()
            assertEquals(1L, first.token())
            shared.cutOff = emptySet()
            delay(2.6.seconds)
            assertNull(first.token())
            assertEquals(2L, second.token())
        }

    /** Guards against groups that no process balances during an outage of the store. */
    @Test
    fun `the holder keeps the lease while the store is unavailable and all others pledge`() =
        runTest {
            val group = ProcessGroup(this, seed = 1, count = 3)
            delay(3.seconds)
            for (isUnresponsive in listOf(false, true)) {
                val token = group.tokens().single()
                group.shared.isUnresponsive = isUnresponsive
                group.shared.cutOff = setOf(0, 1, 2)
                delay(3.seconds)
                repeat(50) {
                    delay(100.milliseconds)
                    assertEquals(listOf(token), group.tokens(), "unresponsive store: $isUnresponsive")
                }
                group.shared.cutOff = emptySet()
                delay(3.seconds)
            }
            group.close()
        }

    /** Guards against two holders at the same time, under random cut-offs, late writes, restarts and releases. */
    @Test
    fun `no two processes hold the lease`() =
        runTest {
            var held = 0
            repeat(RUNS) { seed ->
                val group = ProcessGroup(this, seed, count = 4)
                repeat(EVENTS_PER_RUN) {
                    group.injectEvent()
                    repeat(group.random.nextInt(5, 60)) {
                        delay(20.milliseconds)
                        val tokens = group.tokens()
                        assertTrue(tokens.size <= 1, "seed $seed: tokens $tokens are held at the same time")
                        held += tokens.size
                    }
                }
                group.close()
            }
            assertTrue(held > RUNS * EVENTS_PER_RUN, "the lease was held in only $held samples")
        }

    private companion object {
        const val RUNS = 300
        const val EVENTS_PER_RUN = 30
    }
}
