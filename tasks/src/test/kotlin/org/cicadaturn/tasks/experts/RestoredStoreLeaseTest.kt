package org.cicadaturn.tasks.experts

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Histories of a lease in a store that is restored from older copies. */
class RestoredStoreLeaseTest {
    /** Tokens that were held, with the process and the start of it that held them. */
    private class HeldTokens(
        private val seed: Int,
    ) {
        private val holders = HashMap<Long, Pair<Int, Int>>()
        private var highest = 0L
        var samples = 0
            private set

        fun check(group: ProcessGroup) {
            val current = group.holders()
            assertTrue(current.size <= 1, "seed $seed: held at the same time: $current")
            val (holder, token) = current.entries.singleOrNull() ?: return
            samples += 1
            assertEquals(holders.getOrPut(token) { holder }, holder, "seed $seed: token $token was given out twice")
            assertTrue(token >= highest, "seed $seed: token $token is held after $highest, for which ranks refuse it")
            highest = token
        }
    }

    /**
     * Guards against two holders at the same time, against a token that two processes get and against one that is lower
     * than an earlier one, whatever a restore of the store loses and brings back.
     */
    @Test
    fun `restores of the store give no token out again`() =
        runTest {
            var held = 0
            for (seed in SEEDS) {
                val group = ProcessGroup(this, seed, count = 4, hasStaleReads = true)
                val tokens = HeldTokens(seed)
                repeat(EVENTS_PER_RUN) {
                    group.injectEventOrRestore()
                    sample(group, tokens, group.random.nextInt(5, 60))
                }
                group.recover()
                sample(group, tokens, SAMPLES_OF_RECOVERY)
                assertEquals(1, group.holders().size, "seed $seed: no process holds the lease after all faults")
                held += tokens.samples
                group.close()
            }
            assertTrue(held > SEEDS.size * EVENTS_PER_RUN, "the lease was held in only $held samples")
        }

    /** Guards against a switch that is broken off, and groups that no process balances, after each restore. */
    @Test
    fun `a holder keeps its token through restores`() =
        runTest {
            val shared = SharedLease(this, Random(1))
            val holder = leaseOf("a", LeaseStore(shared, 0))
            leaseOf("b", LeaseStore(shared, 1))
            delay(1.seconds)
            // The copy has the last renewal, an earlier one or no lease; the last two restores follow each other.
            for (age in listOf(0.seconds, 700.milliseconds, 60.seconds, 100.milliseconds, 1.seconds)) {
                shared.restore(age)
                val interval = if (age == 100.milliseconds) 150.milliseconds else 4.seconds
                repeat((interval / 10.milliseconds).toInt()) {
                    delay(10.milliseconds)
                    assertEquals(1L, holder.token(), "after a restore from a copy that is $age old")
                }
            }
        }

    /** Guards against a holder that stops although its peers would wait, as they read a copy without its lease. */
    @Test
    fun `a holder that is cut off from the store keeps its lease through a restore`() =
        runTest {
            val group = ProcessGroup(this, seed = 1, count = 3)
            delay(3.seconds)
            val (holder, token) = group.holders().entries.single()
            for (cutOff in listOf(setOf(holder.first), emptySet())) {
                group.shared.cutOff = cutOff
                group.shared.restore(60.seconds)
                repeat(100) {
                    delay(50.milliseconds)
                    assertEquals(mapOf(holder to token), group.holders(), "cut off: $cutOff")
                }
            }
            group.close()
        }

    private suspend fun TestScope.sample(
        group: ProcessGroup,
        tokens: HeldTokens,
        count: Int,
    ) = repeat(count) {
        delay(20.milliseconds)
        tokens.check(group)
    }

    private companion object {
        /** With seed 1527 the copies of two restores in a row have a lease with a kept token, and none. */
        val SEEDS = (1..300) + 1527
        const val EVENTS_PER_RUN = 30

        /** Ten seconds, which is more than two takeovers take. */
        val SAMPLES_OF_RECOVERY = (10.seconds / 20.milliseconds).toInt()
    }
}
