package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random

/** Tests over sockets what callers see when the placement of a request meets a defect. */
class PlacementDefectTest {
    private fun isWithinBalancer(): Boolean =
        StackWalker.getInstance().walk { frames -> frames.anyMatch { "BalancerTask" in it.className } }

    /** Guards against requests that wait until their deadline, and get no place for the life of the process. */
    @Test
    fun `a request that meets a defect is refused at once and the next one is served`() {
        val isDue = AtomicBoolean(false)
        val random =
            object : Random() {
                private val real = Random(1)

                override fun nextBits(bitCount: Int): Int {
                    check(!isWithinBalancer() || !isDue.getAndSet(false)) { "planted failure" }
                    return real.nextBits(bitCount)
                }
            }
        ScriptedEndpoint(::answerOk).use { first ->
            ScriptedEndpoint(::answerOk).use { second ->
                TestGateway(listOf(first, second), random = random).use { gateway ->
                    assertEquals(200, exchange(gateway.port, request("/safe/x")).status)
                    isDue.set(true)
                    val refused = exchange(gateway.port, request("/safe/x"))
                    assertEquals(503, refused.status)
                    assertTrue(refused.head.contains("retry-after", ignoreCase = true), refused.head)
                    assertEquals(200, exchange(gateway.port, request("/safe/x")).status)
                }
            }
        }
    }
}
