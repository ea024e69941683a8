package org.cicadaturn.tasks.endpoint

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.admission.AdmissionDecision
import org.cicadaturn.decisions.admission.AdmissionRequest
import org.cicadaturn.decisions.admission.Ending
import org.cicadaturn.decisions.admission.GateState
import org.cicadaturn.decisions.admission.Ticket
import org.cicadaturn.schema.generated.EngineLoad
import org.cicadaturn.schema.generated.RefusalCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val INTERVAL = 50.milliseconds
private val LATE = 300.milliseconds
private val load = EngineLoad(running = 0, waiting = 0, cold = false, run = 1)

/** Tests the probe of an engine in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class EngineProbeTest {
    /** Guards against an engine that is taken out of service by one report that a busy process reads late. */
    @Test
    fun `single late reports do not make an engine unreachable`() {
        val times = listOf(Duration.ZERO, LATE, Duration.ZERO, LATE, LATE, Duration.ZERO)
        assertEquals(setOf(true), reachable(times.map { Probe(it, load) }).toSet())
    }

    /** Guards against an engine that has stopped answering and stays in service. */
    @Test
    fun `an engine whose reports stay away is unreachable until it answers again`() {
        val probes = List(5) { Probe(LATE, load) } + Probe(Duration.ZERO, load)
        assertEquals(listOf(false, true), reachable(probes).distinct())
    }

    /** Guards against an engine that accepts no connection and stays in service. */
    @Test
    fun `an engine that gives no report is unreachable at once`() {
        assertEquals(listOf(false), reachable(listOf(Probe(Duration.ZERO, null))))
    }

    /** Guards against a limit that never takes a silent engine out of service. */
    @Test
    fun `a silent engine is unreachable within three late reports`() =
        runTest {
            var since: Long? = null
            val probing =
                launch {
                    probeEngine(INTERVAL, NoGate, { delay(Duration.INFINITE).let { null } }) {
                        if (!it) since = since ?: currentTime
                    }
                }
            delay(2_000.milliseconds)
            probing.cancel()
            assertEquals(3 * 4 * INTERVAL.inWholeMilliseconds + 2 * INTERVAL.inWholeMilliseconds, since)
        }

    private class Probe(
        val time: Duration,
        val load: EngineLoad?,
    )

    /** Returns what was reported while the engine answered as [probes] say, one after the other. */
    private fun reachable(probes: List<Probe>): List<Boolean> {
        val reported = mutableListOf<Boolean>()
        runTest {
            val rest = probes.toMutableList()
            val probing =
                launch {
                    val read: LoadReader = {
                        val probe = rest.removeFirstOrNull()
                        delay(probe?.time ?: Duration.INFINITE)
                        probe?.load
                    }
                    probeEngine(INTERVAL, NoGate, read) { reported += it }
                }
            delay(INTERVAL * (probes.size * 5))
            probing.cancel()
        }
        return reported
    }

    private object NoGate : Gate {
        override val state: StateFlow<GateState> get() = error("the probe reads no state")

        override suspend fun admit(request: AdmissionRequest): AdmissionDecision = error("the probe admits nothing")

        override suspend fun finish(
            ticket: Ticket,
            ending: Ending,
        ) = Unit

        override suspend fun applyEngineReport(
            run: Long,
            cold: Boolean,
        ) = Unit

        override suspend fun markCold() = Unit

        override suspend fun close(code: RefusalCode?) = Unit
    }
}
