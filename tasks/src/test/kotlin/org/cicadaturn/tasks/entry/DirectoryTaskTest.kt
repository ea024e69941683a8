package org.cicadaturn.tasks.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.configuration.configurationIndex
import org.cicadaturn.decisions.routing.AttemptOutcome
import org.cicadaturn.decisions.routing.RoutingQuery
import org.cicadaturn.decisions.routing.endpointDirectory
import org.cicadaturn.decisions.routing.sampledChooser
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.FailureDomain
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.HostId
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.StreamId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

@OptIn(ExperimentalCoroutinesApi::class)
class DirectoryTaskTest {
    private val endpoint = EndpointId("e1")
    private val service = ServiceId("drafts")

    private object NoSession : EndpointSession {
        override suspend fun open(
            attempt: AttemptId,
            makeOpen: (StreamId) -> Frame.Open,
        ): AnswerStream? = null
    }

    /** Guards against the refusal of a request although an endpoint gets capacity in time. */
    @Test
    fun `a request waits until an endpoint has capacity`() =
        withDirectory { directory ->
            assertInstanceOf(Assignment.Assigned::class.java, directory.choose(query(), Duration.ZERO))
            val waiting = async { directory.choose(query(), 1.seconds) }
            runCurrent()
            assertFalse(waiting.isCompleted)
            directory.finished(endpoint, 1, AttemptOutcome.Neutral)
            assertInstanceOf(Assignment.Assigned::class.java, waiting.await())
            assertEquals(0, currentTime)
        }

    /** Guards against a request that waits longer than its wait limit. */
    @Test
    fun `a request that waited too long is refused`() =
        withDirectory { directory ->
            directory.choose(query(), Duration.ZERO)
            val result = assertInstanceOf(Assignment.None::class.java, directory.choose(query(), 300.milliseconds))
            assertEquals(RefusalCode.OVERLOADED, result.code)
            assertEquals(300, currentTime)
        }

    /** Guards against capacity that is never released after a request is cancelled while it waits. */
    @Test
    fun `a request that is cancelled while it waits uses no capacity`() =
        withDirectory { directory ->
            directory.choose(query(), Duration.ZERO)
            val caller = launch { directory.choose(query(), 10.seconds) }
            runCurrent()
            caller.cancel()
            directory.finished(endpoint, 1, AttemptOutcome.Neutral)
            assertInstanceOf(Assignment.Assigned::class.java, directory.choose(query(), Duration.ZERO))
        }

    /** Guards against new work for an endpoint that operators have drained or that has announced its stop. */
    @Test
    fun `a drained or leaving endpoint gets no new work`() =
        withDirectory { directory ->
            directory.configured(configurationIndex(configuration(AdmissionState.DRAINED)))
            assertInstanceOf(Assignment.None::class.java, directory.choose(query(), Duration.ZERO))
            directory.configured(configurationIndex(configuration(AdmissionState.IN_SERVICE)))
            assertInstanceOf(Assignment.Assigned::class.java, directory.choose(query(), Duration.ZERO))
            directory.finished(endpoint, 1, AttemptOutcome.Neutral)
            directory.leaving(endpoint)
            assertInstanceOf(Assignment.None::class.java, directory.choose(query(), Duration.ZERO))
        }

    /** Guards against the late end of an old connection that removes a newer one. */
    @Test
    fun `the late end of an earlier session does not disconnect the current one`() =
        withDirectory { directory ->
            val later =
                object : EndpointSession {
                    override suspend fun open(
                        attempt: AttemptId,
                        makeOpen: (StreamId) -> Frame.Open,
                    ): AnswerStream? = null
                }
            directory.connected(endpoint, later)
            directory.disconnected(endpoint, NoSession)
            directory.reported(endpoint, report())
            assertInstanceOf(Assignment.Assigned::class.java, directory.choose(query(), Duration.ZERO))
        }

    private fun withDirectory(test: suspend TestScope.(Directory) -> Unit) =
        runTest {
            val clock =
                object : Clock {
                    override fun now() = Instant.fromEpochMilliseconds(currentTime)
                }
            val chooser = sampledChooser(Random(1))
            val state = endpointDirectory(FailureDomainId("a"), 1.milliseconds, chooser)
            val directory = DirectoryTask(state, clock)
            backgroundScope.launch { directory.run() }
            directory.configured(configurationIndex(configuration(AdmissionState.IN_SERVICE)))
            directory.connected(endpoint, NoSession)
            directory.reported(endpoint, report())
            test(directory)
        }

    /** Returns the report of a cold endpoint with capacity for one request. */
    private fun report(): LoadReport = LoadReport(endpoint, service, 1, EngineState.COLD, 0, 0, 1, 0, accepting = true)

    private fun query(): RoutingQuery = RoutingQuery(service, 1, Instant.fromEpochSeconds(60))

    private fun configuration(state: AdmissionState): Configuration {
        val domain = FailureDomainId("a")
        val address = NetworkAddress("127.0.0.1", 1)
        return Configuration(
            revision = Revision(1),
            acceptedAt = Instant.fromEpochSeconds(0),
            acceptedBy = "test",
            failureDomains = listOf(FailureDomain(domain, state)),
            endpoints = listOf(Endpoint(endpoint, HostId("h"), domain, service, address, AdmissionState.IN_SERVICE)),
        )
    }
}
