package org.cicadaturn.tasks.control

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.configuration.ConfigurationSource
import org.cicadaturn.decisions.plan.ApplyError
import org.cicadaturn.decisions.plan.applyPlan
import org.cicadaturn.decisions.plan.isResultOf
import org.cicadaturn.decisions.plan.resultingRevision
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.schema.generated.AcceptedChange
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Operator
import org.cicadaturn.schema.generated.Plan
import org.cicadaturn.tasks.configuration.CONFIGURATION_KEY
import org.cicadaturn.tasks.configuration.ConfigurationManager
import org.cicadaturn.tasks.configuration.encodeConfiguration
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Clock

/** Maximum number of rounds of one call; with a store that does not answer, the call ends within about 10 s. */
private const val MAX_CONFIRM_ROUNDS = 4

/**
 * Applies plans by a conditional put.
 *
 * Each round reads the configuration. If the plan has been applied or the revision has changed, that is the result.
 * Otherwise the round puts the new configuration with the version that was read. The next round finds out whether a put
 * without an answer took effect. Repeating a put is safe, because only one put can match the version.
 */
internal class PlanConfirmation(
    private val store: ObjectStore,
    private val plans: StoredPlans,
    private val configurationManager: ConfigurationManager,
    private val clock: Clock,
    private val backoff: Backoff,
) {
    private val log = LogManager.getLogger("control")

    private sealed interface Round {
        class Ended(
            val result: Either<ControlError, AcceptedChange>,
        ) : Round

        /** The result is not known; [mayHaveEffect] is true if the plan may have been applied or may still be. */
        class Undecided(
            val error: ControlError,
            val mayHaveEffect: Boolean,
        ) : Round
    }

    suspend fun confirm(
        plan: Plan,
        operator: Operator,
    ): Either<ControlError, AcceptedChange> {
        var undecided = false
        var last: ControlError = ControlError.Undecided("not tried")
        for (number in 1..MAX_CONFIRM_ROUNDS) {
            if (number > 1) delay(backoff.delayBefore(number - 1))
            when (val round = round(plan, operator)) {
                is Round.Ended -> {
                    return round.result
                }

                is Round.Undecided -> {
                    undecided = undecided || round.mayHaveEffect
                    last = round.error
                }
            }
            if (!undecided && last is ControlError.StoreFailed) return last.left()
        }
        return if (undecided) ControlError.Undecided(last.failure.message).left() else last.left()
    }

    private suspend fun round(
        plan: Plan,
        operator: Operator,
    ): Round {
        val stored = plans.configuration().getOrElse { return Round.Undecided(it, mayHaveEffect = false) }
        val before = stored.configuration
        val acceptedBefore =
            acceptedEarlier(before, plan).getOrElse { return Round.Undecided(it, mayHaveEffect = true) }
        if (acceptedBefore != null) return Round.Ended(acceptedBefore.right())
        return applyPlan(before, plan, operator, clock.now()).fold(
            { Round.Ended(refusal(it).left()) },
            { put(stored, it) },
        )
    }

    /**
     * Returns the accepted change of [plan] if it has been applied, or null.
     *
     * It may have been applied several revisions ago, by a put whose answer was lost.
     */
    private suspend fun acceptedEarlier(
        current: Configuration,
        plan: Plan,
    ): Either<ControlError, AcceptedChange?> {
        if (isResultOf(current, plan)) return publish(current).right()
        if (current.revision <= resultingRevision(plan)) return null.right()
        return plans.history(resultingRevision(plan)).map { change -> change?.takeIf { it.change == plan.change } }
    }

    private suspend fun put(
        before: StoredConfiguration,
        after: Configuration,
    ): Round {
        // The put overwrites the current revision in the store, so its entry in the history is written first.
        plans
            .saveHistory(acceptedChange(before.configuration))
            .onLeft { return Round.Undecided(it, mayHaveEffect = false) }
        return store.put(CONFIGURATION_KEY, encodeConfiguration(after), before.version).fold(
            { afterFailedPut(it) },
            { Round.Ended(publish(after).right()) },
        )
    }

    private fun afterFailedPut(error: StoreError): Round =
        when (error) {
            is StoreError.Conflict -> {
                Round.Undecided(ControlError.Undecided("another change was first"), mayHaveEffect = false)
            }

            is StoreError.Unanswered -> {
                Round.Undecided(storeFailed(error), mayHaveEffect = true)
            }

            else -> {
                Round.Undecided(storeFailed(error), mayHaveEffect = false)
            }
        }

    private fun refusal(error: ApplyError): ControlError =
        when (error) {
            is ApplyError.ConfigurationChanged -> ControlError.ConfigurationChanged(error.difference)
            is ApplyError.NotAllowed -> ControlError.NotAllowed(error.operator)
            is ApplyError.Invalid -> ControlError.InvalidIntent(error.error)
        }

    private suspend fun publish(accepted: Configuration): AcceptedChange {
        val change = acceptedChange(accepted)
        log.info("control: revision {} accepted, by {}: {}", change.revision, change.acceptedBy, change.change)
        // Offered at once, so that it is distributed over the connections without waiting for the watch.
        configurationManager.offer(accepted, ConfigurationSource.STORE)
        plans.saveHistory(change).onLeft {
            log.warn(
                "control: history of revision {} not written, retried with the next change: {}",
                change.revision,
                it.failure,
            )
        }
        return change
    }
}
