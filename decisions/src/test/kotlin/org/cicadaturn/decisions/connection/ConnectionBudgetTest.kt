package org.cicadaturn.decisions.connection

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ConnectionBudgetTest {
    private val budget = connectionBudget(ConnectionLimits(connections = 4, bytes = 1_000_000))

    private fun open(vararg numbers: Long) = numbers.forEach { assertTrue(budget.open(ConnectionNumber(it)).isGranted) }

    private fun hold(
        number: Long,
        bytes: Long,
    ) = budget.hold(ConnectionNumber(number), bytes)

    private fun closed(decision: ConnectionDecision) = decision.closed.map { it.value }

    /** Guards against clients that send nothing and take all connections. */
    @Test
    fun `a new connection replaces the oldest one without an admitted request`() {
        open(1, 2, 3, 4)
        budget.admitted(ConnectionNumber(1))
        budget.use(ConnectionNumber(2), ConnectionUse.SERVING)
        assertEquals(listOf(3L), closed(budget.open(ConnectionNumber(5))))
        assertEquals(4, budget.connections)
    }

    /** Guards against new clients that take the connections of those whose requests were admitted. */
    @Test
    fun `a new connection is refused if all others have had an admitted request`() {
        open(1, 2, 3, 4)
        (1L..4).forEach { budget.admitted(ConnectionNumber(it)) }
        assertEquals(ConnectionDecision(false), budget.open(ConnectionNumber(5)))
        assertEquals(4, budget.connections)
    }

    /** Guards against a request of usual size that is refused because of connections that hold much more. */
    @Test
    fun `the connection that holds most is closed for one that holds less`() {
        open(1, 2, 3)
        assertTrue(hold(1, 300_000).isGranted)
        assertTrue(hold(2, 400_000).isGranted)
        assertTrue(hold(3, 20_000).isGranted)
        val decision = hold(3, 350_000)
        assertTrue(decision.isGranted)
        assertEquals(listOf(2L), closed(decision))
    }

    /** Guards against a client that takes the memory of those that hold less than it. */
    @Test
    fun `a connection that would hold most gets no more memory`() {
        open(1, 2)
        assertTrue(hold(1, 400_000).isGranted)
        assertEquals(ConnectionDecision(false), hold(2, 500_000))
        assertEquals(400_000 + 2 * CONNECTION_BYTES, budget.usedBytes)
    }

    /** Guards against large heads that leave no memory to requests of usual size. */
    @Test
    fun `large connections leave a quarter of the memory to others`() {
        open(1, 2, 3)
        assertTrue(hold(1, 700_000).isGranted)
        budget.use(ConnectionNumber(1), ConnectionUse.SERVING)
        assertFalse(hold(2, 100_000).isGranted)
        assertTrue(hold(3, 50_000).isGranted)
    }

    /** Guards against connections that hold little each, but all of the memory together. */
    @Test
    fun `a request of usual size gets the memory of connections without an admitted request`() {
        val full = connectionBudget(ConnectionLimits(connections = 100, bytes = 10 * CONNECTION_BYTES))
        val numbers = (1L..10).map(::ConnectionNumber).onEach { assertTrue(full.open(it).isGranted) }
        full.admitted(numbers[0])
        assertEquals(listOf(2L, 3L), closed(full.hold(numbers[9], 2 * CONNECTION_BYTES)))
        numbers.forEach(full::admitted)
        assertEquals(ConnectionDecision(false), full.hold(numbers[8], 2 * CONNECTION_BYTES))
    }

    /** Guards against a request in progress that is cut to make room for another one. */
    @Test
    fun `a connection that serves a request is not closed`() {
        open(1, 2)
        assertTrue(hold(1, 700_000).isGranted)
        budget.use(ConnectionNumber(1), ConnectionUse.SERVING)
        assertEquals(ConnectionDecision(false), hold(2, 200_000))
        budget.use(ConnectionNumber(1), ConnectionUse.STALLED)
        assertEquals(listOf(1L), closed(hold(2, 200_000)))
    }

    /** Guards against counts that drift from what the connections hold, after which the limits bound nothing. */
    @Test
    fun `random use stays within the limits`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val limits = ConnectionLimits(connections = 20, bytes = 500_000)
            val tested = connectionBudget(limits)
            val held = HashMap<ConnectionNumber, Long>()
            val serving = HashSet<ConnectionNumber>()
            repeat(500) { step ->
                val some = held.keys.randomOrNull(random)
                val decision =
                    when (random.nextInt(4)) {
                        0 ->
                            ConnectionNumber(step.toLong()).let { new ->
                                tested.open(new).also {
                                    if (it.isGranted) {
                                        held[new] =
                                            0
                                    }
                                }
                            }
                        1 ->
                            some?.let { n ->
                                random.nextLong(200_000).let { b ->
                                    tested.hold(n, b).also {
                                        if (it.isGranted) {
                                            held[n] =
                                                b
                                        }
                                    }
                                }
                            }
                        2 ->
                            null.also {
                                some?.let { n ->
                                    tested.close(n)
                                    held -= n
                                    serving -= n
                                }
                            }
                        else ->
                            null.also {
                                some?.let { n ->
                                    tested.use(n, ConnectionUse.SERVING)
                                    serving += n
                                }
                            }
                    }
                decision?.closed?.forEach {
                    assertFalse(it in serving, "seed $seed, step $step")
                    held -= it
                }
                assertTrue(tested.usedBytes <= limits.bytes && tested.connections <= limits.connections, "seed $seed")
                assertEquals(held.size, tested.connections, "seed $seed, step $step")
                assertEquals(held.values.sumOf { it + CONNECTION_BYTES }, tested.usedBytes, "seed $seed, step $step")
            }
        }
    }
}
