package org.cicadaturn.standins.control

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.decisions.configuration.ConfigurationSource
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.decisions.configuration.mergeConfiguration
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomain
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.HostId
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Operator
import org.cicadaturn.schema.generated.PlanId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Service
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceKind
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.standins.FakeObjectStore
import org.cicadaturn.tasks.configuration.CONFIGURATION_KEY
import org.cicadaturn.tasks.configuration.ConfigurationManager
import org.cicadaturn.tasks.configuration.decodeConfiguration
import org.cicadaturn.tasks.configuration.encodeConfiguration
import org.cicadaturn.tasks.control.Control
import org.cicadaturn.tasks.control.ControlDependencies
import org.cicadaturn.tasks.control.LocalDrain
import org.cicadaturn.tasks.control.control
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal val asha = Operator("asha", digestOf("asha-key"), mayConfirm = true)
internal val bela = Operator("bela", digestOf("bela-key"), mayConfirm = true)
internal val reader = Operator("reader", digestOf("reader-key"), mayConfirm = false)

private val start = Instant.fromEpochSeconds(1_800_000_000)

internal val firstConfiguration =
    Configuration(
        revision = Revision(7),
        acceptedAt = start,
        acceptedBy = "installer",
        services =
            listOf(
                Service(ServiceId("drafting"), ServiceKind.MODEL, listOf("m"), idempotent = true, 30.seconds),
            ),
        failureDomains =
            listOf("kolkata", "siliguri").map { FailureDomain(FailureDomainId(it), AdmissionState.IN_SERVICE) },
        endpoints =
            listOf("d1", "d2", "d3").mapIndexed { i, id ->
                Endpoint(
                    EndpointId(id),
                    HostId("h$i"),
                    FailureDomainId(if (i == 2) "siliguri" else "kolkata"),
                    ServiceId("drafting"),
                    NetworkAddress("10.0.0.$i", 9000),
                    AdmissionState.IN_SERVICE,
                )
            },
        operators = listOf(asha, bela, reader),
    )

internal fun drain(endpoint: String): Intent =
    Intent.ChangeState(IntentTarget.ENDPOINT, endpoint, AdmissionState.DRAINED)

/** Control component of a process, with its plans and configuration in [store]. */
internal class ControlFixture(
    val store: ObjectStore,
    name: String,
) {
    val configurationManager = RecordingConfigurationManager()
    private var plans = 0

    val control: Control =
        control(
            ControlDependencies(
                process = ProcessId(name),
                store = store,
                configurationManager = configurationManager,
                views = { emptyList() },
                inFlight = { 0 },
                localDrain = NoLocalDrain,
                clock =
                    object : Clock {
                        override fun now(): Instant = start
                    },
                backoff = Backoff { 50.milliseconds },
                newPlanId = { PlanId("$name-${++plans}") },
            ),
        )
}

/** Configuration manager that merges offered configurations as a process does, and records the offers. */
internal class RecordingConfigurationManager : ConfigurationManager {
    val offers = mutableListOf<Pair<Revision, ConfigurationSource>>()
    override val inForce: MutableStateFlow<ConfigurationInForce?> = MutableStateFlow(null)

    override suspend fun offer(
        configuration: Configuration,
        source: ConfigurationSource,
    ) {
        offers += configuration.revision to source
        inForce.value = mergeConfiguration(inForce.value, configuration, source)
    }

    override suspend fun storeUnavailable() = Unit
}

private object NoLocalDrain : LocalDrain {
    override val isActive: StateFlow<Boolean> = MutableStateFlow(false)

    override suspend fun set(on: Boolean) = throw UnsupportedOperationException("these tests set no local drain")
}

/** Replacement of a put; it may call the real put or not, and returns the result for the caller. */
internal typealias PutFault = suspend (put: suspend () -> Either<StoreError, Version>) -> Either<StoreError, Version>

/**
 * Store that injects a fault into the next put of one object.
 *
 * The faults of the fake store can't select an object: they apply to the next write, and a confirmation writes both
 * the configuration and its history.
 */
internal class FaultyStore(
    private val store: ObjectStore,
) : ObjectStore by store {
    private val faults = mutableMapOf<String, PutFault>()
    var configurationPuts = 0
        private set

    fun onNextPut(
        key: String = CONFIGURATION_KEY,
        fault: PutFault,
    ) {
        faults[key] = fault
    }

    override suspend fun put(
        key: String,
        value: String,
        expected: Version?,
    ): Either<StoreError, Version> {
        if (key == CONFIGURATION_KEY) configurationPuts++
        val fault = faults.remove(key) ?: return store.put(key, value, expected)
        return fault { store.put(key, value, expected) }
    }
}

internal fun unanswered(): Either<StoreError, Version> = StoreError.Unanswered("injected fault").left()

internal suspend fun FakeObjectStore.install() {
    client(FailureDomainId("kolkata")).put(CONFIGURATION_KEY, encodeConfiguration(firstConfiguration), null).value()
}

internal suspend fun ObjectStore.configuration(): Configuration =
    decodeConfiguration(get(CONFIGURATION_KEY).value().value).value()

internal fun <E, A> Either<E, A>.value(): A = fold({ throw AssertionError("unexpected failure: $it") }, { it })

internal fun <E, A> Either<E, A>.error(): E = fold({ it }, { throw AssertionError("unexpected success: $it") })
