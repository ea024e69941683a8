package org.cicadaturn.decisions.plan

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.ConfigurationDifference
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.Intent
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.Operator
import org.cicadaturn.schema.generated.Plan
import org.cicadaturn.schema.generated.PlanId
import org.cicadaturn.schema.generated.PlanStep
import org.cicadaturn.schema.generated.PlanWarning
import org.cicadaturn.schema.generated.PlanWarningCode
import org.cicadaturn.schema.generated.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Expected time until an accepted configuration is in force in all processes: the target for the 99th percentile. */
private val PROPAGATION_TIME: Duration = 3.seconds

/**
 * Returns the plan [id] that applies [intent] to [configuration], or why there is none.
 *
 * A plan has no effect until it is applied. It can take effect only as the revision that follows [configuration].
 */
public fun planIntent(
    configuration: Configuration,
    snapshot: LoadSnapshot,
    intent: Intent,
    id: PlanId,
    now: Instant,
): Either<PlanError, Plan> =
    either {
        val after = changedConfiguration(configuration, intent).bind()
        if (intent is Intent.Remove) {
            val requests = snapshot.requestsAt(intent.endpoint)
            ensure(requests == 0) { PlanError.Busy(intent.endpoint, requests) }
        }
        val effects = capacityEffects(configuration, after, snapshot)
        val inForce = PlanStep("put into force: ${describe(intent)}", effects, PROPAGATION_TIME)
        val steps = listOfNotNull(inForce, transitionStep(configuration, after, snapshot))
        Plan(
            id = id,
            intent = intent,
            change = "${describe(intent)} (plan $id)",
            madeFrom = configuration.revision,
            madeAt = now,
            steps = steps,
            warnings = capacityWarnings(effects, after) + intentWarnings(configuration, intent),
            expectedTime = steps.fold(Duration.ZERO) { sum, step -> sum + step.expectedTime },
            basis = fingerprints(configuration),
        )
    }

/** Reason why a plan is not applied. */
public sealed interface ApplyError {
    /** [operator] may not confirm plans, or has been removed. */
    public data class NotAllowed(
        val operator: String,
    ) : ApplyError

    /** The configuration has changed since the plan was made. */
    public data class ConfigurationChanged(
        val difference: ConfigurationDifference,
    ) : ApplyError

    /** The intent of the plan is invalid for the revision from which the plan was made. */
    public data class Invalid(
        val error: PlanError,
    ) : ApplyError
}

/**
 * Returns [configuration] with [plan] applied and the revision increased by one, or why the plan is not applied.
 *
 * The permission of [operator] is read from [configuration], because it may have been revoked since the operator was
 * authenticated.
 */
public fun applyPlan(
    configuration: Configuration,
    plan: Plan,
    operator: Operator,
    now: Instant,
): Either<ApplyError, Configuration> {
    val mayConfirm = configuration.operators.any { it.key == operator.key && it.mayConfirm }
    if (!mayConfirm) return ApplyError.NotAllowed(operator.name).left()
    if (configuration.revision != plan.madeFrom) {
        return ApplyError.ConfigurationChanged(difference(plan.madeFrom, plan.basis, configuration)).left()
    }
    return changedConfiguration(configuration, plan.intent)
        .mapLeft { ApplyError.Invalid(it) }
        .map {
            it.copy(
                revision = resultingRevision(plan),
                acceptedAt = now,
                acceptedBy = operator.name,
                change = plan.change,
            )
        }
}

/** Returns the revision that results from [plan]. */
public fun resultingRevision(plan: Plan): Revision = Revision(plan.madeFrom.number + 1)

/** Returns true if [configuration] is the result of [plan]. */
public fun isResultOf(
    configuration: Configuration,
    plan: Plan,
): Boolean = configuration.revision == resultingRevision(plan) && configuration.change == plan.change

/** Returns the step after a change in which requests finish or endpoints warm up, or null if there is none. */
private fun transitionStep(
    before: Configuration,
    after: Configuration,
    snapshot: LoadSnapshot,
): PlanStep? {
    val old = endpointsInService(before)
    val new = endpointsInService(after)
    val removed = old.filter { e -> new.none { it.id == e.id } }
    val added = new.filter { e -> old.none { it.id == e.id } }
    if (removed.isNotEmpty()) {
        val running = removed.sumOf { snapshot.requestsAt(it.id) }
        val time = if (running == 0) Duration.ZERO else longestCall(before, removed)
        return PlanStep("${removed.size} endpoints finish $running requests", expectedTime = time)
    }
    if (added.isEmpty()) return null
    return PlanStep(
        "${added.size} endpoints take new work, at first within their cold bound",
        expectedTime = Duration.ZERO,
    )
}

private fun longestCall(
    configuration: Configuration,
    endpoints: List<Endpoint>,
): Duration {
    val services = endpoints.map { it.service }.toSet()
    return configuration.services
        .filter { it.id in services }
        .maxOfOrNull { it.deadline } ?: Duration.ZERO
}

private fun intentWarnings(
    configuration: Configuration,
    intent: Intent,
): List<PlanWarning> {
    val named =
        when (intent) {
            is Intent.Admit -> listOf(intent.endpoint)
            is Intent.ChangeState -> endpointsReturned(configuration, intent)
            else -> emptyList()
        }
    val drained = configuration.failureDomains.filter { it.state == AdmissionState.DRAINED }.map { it.id }
    val domains = named.map { it.failureDomain }.filter { it in drained }.distinct()
    val inDrained =
        domains.map {
            PlanWarning(
                PlanWarningCode.DOMAIN_DRAINED,
                "failure domain $it is drained, so that its endpoints get no work; return it too",
            )
        }
    return inDrained + listOfNotNull((intent as? Intent.SetService)?.let { contractWarning(configuration, it) })
}

private fun endpointsReturned(
    configuration: Configuration,
    intent: Intent.ChangeState,
): List<Endpoint> {
    if (intent.state != AdmissionState.IN_SERVICE) return emptyList()
    return configuration.endpoints.filter {
        (intent.target == IntentTarget.HOST && it.host.text == intent.name) ||
            (intent.target == IntentTarget.ENDPOINT && it.id.text == intent.name)
    }
}

private fun contractWarning(
    configuration: Configuration,
    intent: Intent.SetService,
): PlanWarning? {
    val after = intent.service
    val before = configuration.services.firstOrNull { it.id == after.id } ?: return null
    val lostModels = before.models - after.models.toSet()
    val changes =
        listOfNotNull(
            "its kind".takeIf { before.kind != after.kind },
            "whether its calls may be repeated".takeIf { before.idempotent != after.idempotent },
            "the models ${lostModels.joinToString()}".takeIf { lostModels.isNotEmpty() },
        )
    if (changes.isEmpty()) return null
    return PlanWarning(
        PlanWarningCode.CONTRACT_CHANGED,
        "service ${after.id} changes ${changes.joinToString()}; check that its callers and endpoints expect it",
    )
}

private fun describe(intent: Intent): String =
    when (intent) {
        is Intent.ChangeState -> {
            val verb = if (intent.state == AdmissionState.DRAINED) "drain" else "return"
            "$verb ${intent.target.displayName()} ${intent.name}"
        }

        is Intent.Admit -> {
            "admit endpoint ${intent.endpoint.id}"
        }

        is Intent.Remove -> {
            "remove endpoint ${intent.endpoint}"
        }

        is Intent.SetLimits -> {
            "set limits of organisation ${intent.organisation} to ${intent.requestsInFlight} requests in flight " +
                "and ${intent.tokensPerMinute} tokens per minute" + if (intent.keys == null) "" else " and its keys"
        }

        is Intent.SetService -> {
            "set service ${intent.service.id}"
        }
    }
