package org.cicadaturn.standins

import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.cicadaturn.schema.generated.StoreFaults
import org.cicadaturn.schema.generated.StoreLag
import org.cicadaturn.schema.generated.Version
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
class FakeObjectStoreTest {
    /** Guards against a fake that behaves differently from the object API; the name of each case states its failure. */
    @TestFactory
    fun `the fake store satisfies the store contract`(): List<DynamicTest> =
        (callCases + watchCases + faultCases + waitingCases).map { case ->
            dynamicTest("${case.name} (guards against ${case.guardsAgainst})") {
                runTest { case.check(fixture()) }
            }
        }

    /** Guards against lists that show a change before its lag has passed, too late, or never. */
    @Test
    fun `a list shows a change exactly after the lag`() =
        runTest {
            val fixture = fixture()
            val version = fixture.create("hosts/1")
            fixture.control.setFaults(StoreFaults(lags = listOf(StoreLag("hosts/", 3.seconds))))
            fixture.create("hosts/2")
            testScheduler.advanceTimeBy(1.seconds)
            fixture.store.delete("hosts/1", version).value()
            assertEquals(listOf("hosts/1"), fixture.listedKeys())
            testScheduler.advanceTimeBy(2.seconds)
            runCurrent()
            assertEquals(listOf("hosts/1", "hosts/2"), fixture.listedKeys())
            testScheduler.advanceTimeBy(1.seconds)
            runCurrent()
            assertEquals(listOf("hosts/2"), fixture.listedKeys())
        }

    /** Guards against waits in real time and against a timeout that differs from the client's. */
    @Test
    fun `delays and timeouts pass in virtual time`() =
        runTest {
            val fixture = fixture()
            fixture.control.setFaults(StoreFaults(delay = 400.milliseconds))
            assertEquals(400.milliseconds, elapsed { fixture.create("a") })
            assertEquals(100.milliseconds, elapsed { assertUnanswered(fixture.shortTimeoutStore.get("a")) })
            fixture.control.setFaults(StoreFaults())
            assertEquals(7.seconds, elapsed { fixture.store.watch("b", Version(1), 7.seconds).value() })
        }

    /** Guards against watches that stay in the store after their caller was cancelled. */
    @Test
    fun `cancelling the caller ends its watch`() =
        runTest {
            val fixture = fixture()
            val watch = launch { fixture.store.watch("a", Version(0), LONG_WAIT) }
            fixture.control.awaitWaitingWatches(1)
            watch.cancel()
            runCurrent()
            assertEquals(0, fixture.control.counts().waiting)
        }

    /** Guards against two puts that both succeed with the same expected version. */
    @Test
    fun `exactly one of many concurrent puts succeeds`() =
        runTest {
            val fixture = fixture()
            fixture.control.setFaults(StoreFaults(delay = 10.milliseconds))
            val puts = (1..50).map { async { fixture.client(DOMAIN).put("a", "writer $it", null) } }
            val succeeded = puts.map { it.await() }.filter { it.isRight() }
            assertEquals(1, succeeded.size)
            assertEquals(49, fixture.control.counts().conflicts)
        }

    /** Guards against a loss of answers that is not reproducible from the seed. */
    @Test
    fun `equal seeds lose the same answers`() =
        runTest {
            suspend fun losses(seed: Long): List<Boolean> {
                val fixture = fixture(seed)
                fixture.control.setFaults(StoreFaults(losePercent = 30))
                return (1..50).map { fixture.store.put("k$it", "v", null).isLeft() }
            }
            assertEquals(losses(11), losses(11))
            assertTrue(losses(11) != losses(12))
        }

    /** Guards against invalid fault settings that are accepted and silently have no effect. */
    @Test
    fun `invalid faults are rejected`() =
        runTest {
            val control = fixture().control
            val invalid =
                listOf(
                    StoreFaults(delay = (-1).seconds),
                    StoreFaults(loseNext = -1),
                    StoreFaults(losePercent = 101),
                    StoreFaults(lags = listOf(StoreLag("hosts/", Duration.ZERO))),
                )
            invalid.forEach { faults ->
                val failure = runCatching { control.setFaults(faults) }.exceptionOrNull()
                assertThrows(IllegalArgumentException::class.java) { failure?.let { throw it } }
            }
            assertEquals(StoreFaults(), control.faults())
        }

    private fun TestScope.fixture(seed: Long = 7404): StoreFixture {
        val fake = fakeObjectStore(backgroundScope, contractLimits, seed)
        return StoreFixture(fake, fake::client)
    }

    private suspend fun StoreFixture.listedKeys(): List<String> =
        store
            .list("hosts/")
            .value()
            .objects
            .map { it.key }

    private suspend fun TestScope.elapsed(run: suspend () -> Unit): Duration {
        val start = testScheduler.currentTime
        run()
        return (testScheduler.currentTime - start).milliseconds
    }
}
