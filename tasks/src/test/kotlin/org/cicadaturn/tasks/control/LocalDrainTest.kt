package org.cicadaturn.tasks.control

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.decisions.configuration.ConfigurationSource
import org.cicadaturn.decisions.configuration.mergeConfiguration
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Revision
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Instant

@OptIn(ExperimentalCoroutinesApi::class)
class LocalDrainTest {
    private val inForce = MutableStateFlow<ConfigurationInForce?>(null)
    private val drain = LocalDrainTask(inForce)

    /** Guards against a local drain that ends without a cause or does not end with a newer revision. */
    @Test
    fun `a local drain ends by command or with a newer revision`() =
        runTest {
            backgroundScope.launch { drain.run() }
            configured(7)
            drain.set(true)
            inForce.value = inForce.value?.copy(current = false)
            runCurrent()
            assertEquals(true, drain.isActive.value)
            configured(8)
            runCurrent()
            assertEquals(false, drain.isActive.value)
            drain.set(true)
            assertEquals(true, drain.isActive.value)
            drain.set(false)
            assertEquals(false, drain.isActive.value)
        }

    /** Guards against a drain that ends with the first configuration, which may be older than the drain. */
    @Test
    fun `the first configuration does not end a local drain`() =
        runTest {
            backgroundScope.launch { drain.run() }
            runCurrent()
            drain.set(true)
            configured(7)
            runCurrent()
            assertEquals(true, drain.isActive.value)
            configured(8)
            runCurrent()
            assertEquals(false, drain.isActive.value)
        }

    private fun configured(revision: Long) {
        val configuration = Configuration(Revision(revision), Instant.fromEpochSeconds(0), "asha")
        inForce.value = mergeConfiguration(inForce.value, configuration, ConfigurationSource.PEER)
    }
}
