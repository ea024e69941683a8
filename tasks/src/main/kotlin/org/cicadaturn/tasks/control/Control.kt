package org.cicadaturn.tasks.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.cicadaturn.decisions.configuration.ConfigurationInForce
import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.decisions.plan.LoadSnapshot
import org.cicadaturn.decisions.plan.planIntent
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.AcceptedChange
import org.cicadaturn.schema.generated.ChangeHistory
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.ControlStatus
import org.cicadaturn.schema.generated.DomainStatus
import org.cicadaturn.schema.generated.EndpointStatus
import org.cicadaturn.schema.generated.EndpointView
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.Operator
import org.cicadaturn.schema.generated.Plan
import org.cicadaturn.schema.generated.PlanId
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.tasks.configuration.ConfigurationManager
import org.cicadaturn.tasks.configuration.configurationView
import org.cicadaturn.tasks.store.ObjectStore
import kotlin.time.Clock

/** Operators' interface of a process: plans changes, applies them and shows the state. */
public interface Control {
    /** Returns the operator whose bearer key is [key]. */
    public fun operatorOf(key: String): Either<ControlError, Operator>

    /** Creates and stores a plan for [intent] without applying it. */
    public suspend fun plan(
        intent: Intent,
        operator: Operator,
    ): Either<ControlError, Plan>

    /** Returns the stored plan [id]. */
    public suspend fun plan(id: PlanId): Either<ControlError, Plan>

    /** Applies the plan [id]. A repeated call has no further effect and returns the same result. */
    public suspend fun confirm(
        id: PlanId,
        operator: Operator,
    ): Either<ControlError, AcceptedChange>

    /** Returns the configuration in force and the state of this process. */
    public suspend fun status(): Either<ControlError, ControlStatus>

    /** Returns at most [limit] accepted changes, newest first. */
    public suspend fun history(limit: Int): Either<ControlError, ChangeHistory>

    /** Starts or ends the local drain of this process. */
    public suspend fun localDrain(
        on: Boolean,
        operator: Operator,
    ): Either<ControlError, Unit>
}

/**
 * Dependencies of [control].
 *
 * @property process identifier of this process
 * @property store object store of the platform
 * @property configurationManager manager of the configuration in force
 * @property views returns the state of the endpoints as known to this process
 * @property inFlight returns the number of requests in flight
 * @property localDrain local drain of the process
 * @property clock clock of the process
 * @property backoff delay between the rounds of a confirmation whose result is not known
 * @property newPlanId returns an identifier that is unique in the fleet
 */
public class ControlDependencies(
    public val process: ProcessId,
    public val store: ObjectStore,
    public val configurationManager: ConfigurationManager,
    public val views: suspend () -> List<EndpointView>,
    public val inFlight: () -> Int,
    public val localDrain: LocalDrain,
    public val clock: Clock,
    public val backoff: Backoff,
    public val newPlanId: () -> PlanId,
)

/** Creates the operators' interface of an entry process. */
public fun control(dependencies: ControlDependencies): Control = StoreBackedControl(dependencies)

private class StoreBackedControl(
    private val dependencies: ControlDependencies,
) : Control {
    private val plans = StoredPlans(dependencies.store)
    private val confirmation =
        PlanConfirmation(
            dependencies.store,
            plans,
            dependencies.configurationManager,
            dependencies.clock,
            dependencies.backoff,
        )

    override fun operatorOf(key: String): Either<ControlError, Operator> =
        authenticateOperator(key, dependencies.configurationManager.inForce.value)

    /** Plans from the configuration in the store, because a plan from an older revision could not be confirmed. */
    override suspend fun plan(
        intent: Intent,
        operator: Operator,
    ): Either<ControlError, Plan> {
        val base = plans.configuration().getOrElse { return it.left() }.configuration
        val loads = dependencies.views().mapNotNull { it.load }.associateBy { it.endpoint }
        return planIntent(base, LoadSnapshot(loads), intent, dependencies.newPlanId(), dependencies.clock.now())
            .mapLeft { ControlError.InvalidIntent(it) }
            .flatMap { plans.save(it.copy(madeBy = operator.name)) }
    }

    override suspend fun plan(id: PlanId): Either<ControlError, Plan> = plans.plan(id)

    override suspend fun confirm(
        id: PlanId,
        operator: Operator,
    ): Either<ControlError, AcceptedChange> {
        if (!operator.mayConfirm) return ControlError.NotAllowed(operator.name).left()
        return plans.plan(id).flatMap { confirmation.confirm(it, operator) }
    }

    override suspend fun status(): Either<ControlError, ControlStatus> {
        val inForce = dependencies.configurationManager.inForce.value ?: return ControlError.NotReady.left()
        val views = dependencies.views().associateBy { it.endpoint }
        val endpoints =
            inForce.index.configuration.endpoints.map {
                EndpointStatus(it, inForce.index.isInService(it), views[it.id])
            }
        return ControlStatus(
            process = dependencies.process,
            configuration = configurationView(inForce),
            change = inForce.index.configuration.change,
            localDrain = dependencies.localDrain.isActive.value,
            inFlight = dependencies.inFlight(),
            domains = domainsOf(inForce.index.configuration, endpoints),
            endpoints = endpoints,
        ).right()
    }

    override suspend fun history(limit: Int): Either<ControlError, ChangeHistory> {
        val stored = plans.configuration()
        val current =
            stored.getOrNull()?.configuration
                ?: dependencies.configurationManager.inForce.value
                    ?.index
                    ?.configuration
                ?: return ControlError.NotReady.left()
        val changes = mutableListOf(acceptedChange(current))
        while (changes.size < limit) {
            val earlier = Revision(changes.last().revision.number - 1)
            val change = plans.history(earlier).getOrElse { return ChangeHistory(changes, complete = false).right() }
            changes += change ?: break
        }
        return ChangeHistory(changes, complete = stored.isRight()).right()
    }

    override suspend fun localDrain(
        on: Boolean,
        operator: Operator,
    ): Either<ControlError, Unit> = setLocalDrain(dependencies.localDrain, on, operator)
}

internal fun authenticateOperator(
    key: String,
    inForce: ConfigurationInForce?,
): Either<ControlError, Operator> {
    if (inForce == null) return ControlError.NotReady.left()
    return inForce.index.operatorOf(digestOf(key))?.right() ?: ControlError.Unauthenticated.left()
}

internal suspend fun setLocalDrain(
    localDrain: LocalDrain,
    on: Boolean,
    operator: Operator,
): Either<ControlError, Unit> {
    if (!operator.mayConfirm) return ControlError.NotAllowed(operator.name).left()
    return localDrain.set(on).right()
}

private fun domainsOf(
    configuration: Configuration,
    endpoints: List<EndpointStatus>,
): List<DomainStatus> {
    val byDomain = endpoints.groupBy { it.endpoint.failureDomain }
    return configuration.failureDomains.map { domain ->
        val members = byDomain[domain.id].orEmpty()
        DomainStatus(
            failureDomain = domain.id,
            state = domain.state,
            endpoints = members.size,
            inService = members.count { it.inService },
            load = members.mapNotNull { it.view?.load }.sumOf { it.running + it.queued },
        )
    }
}
