package org.cicadaturn.tasks.configuration

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.configuration.ConfigurationSource
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.tasks.PlantedFailure
import org.cicadaturn.tasks.processScope
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Tests what a process uses after it has met a configuration that cannot be put into force, in virtual time. */
class ConfigurationFailureTest {
    /** List of services whose first use fails. */
    private class FailingServices : AbstractList<Service>() {
        private val failure = PlantedFailure()

        override val size: Int
            get() {
                failure()
                return 0
            }

        override fun get(index: Int): Service = throw IndexOutOfBoundsException("no service $index")
    }

    private fun configuration(
        revision: Long,
        services: List<Service> = emptyList(),
    ) = Configuration(Revision(revision), Instant.fromEpochSeconds(0), "operator", services = services)

    private fun TestScope.runningTask(): ConfigurationTask =
        ConfigurationTask().also { task -> processScope().launch { task.run() } }

    private suspend fun ConfigurationTask.offerAndAwait(
        configuration: Configuration,
        source: ConfigurationSource,
    ) {
        offer(configuration, source)
        delay(1.milliseconds)
    }

    private fun ConfigurationTask.used(): Pair<Revision?, Boolean?> = inForce.value.let { it?.revision to it?.current }

    /** Guards against a process that takes no configuration any more after one that it could not use. */
    @Test
    fun `a configuration is in force after one that could not be used`() =
        runTest {
            val task = runningTask()
            task.offerAndAwait(configuration(1), ConfigurationSource.STORE)
            task.offerAndAwait(configuration(2, FailingServices()), ConfigurationSource.STORE)
            task.offerAndAwait(configuration(3), ConfigurationSource.STORE)
            assertEquals(Revision(3) to true, task.used())
        }

    /** Guards against an older configuration that counts as the newest while the store has one that cannot be used. */
    @Test
    fun `the configuration before one of the store that cannot be used is not current`() =
        runTest {
            val task = runningTask()
            task.offerAndAwait(configuration(1), ConfigurationSource.STORE)
            task.offerAndAwait(configuration(2, FailingServices()), ConfigurationSource.STORE)
            assertEquals(Revision(1) to false, task.used())
        }

    /** Guards against a peer with a configuration that cannot be used making the one of the store count as old. */
    @Test
    fun `the configuration of the store stays current after one of a peer that cannot be used`() =
        runTest {
            val task = runningTask()
            task.offerAndAwait(configuration(1), ConfigurationSource.STORE)
            task.offerAndAwait(configuration(2, FailingServices()), ConfigurationSource.PEER)
            assertEquals(Revision(1) to true, task.used())
        }

    /** Guards against a task that begins without a configuration when it runs again. */
    @Test
    fun `a task that runs again has the configuration of its first run`() =
        runTest {
            val task = ConfigurationTask()
            val first = processScope().launch { task.run() }
            task.offerAndAwait(configuration(2), ConfigurationSource.STORE)
            first.cancel()
            processScope().launch { task.run() }
            task.offerAndAwait(configuration(1), ConfigurationSource.STORE)
            assertEquals(Revision(2) to true, task.used())
        }
}
