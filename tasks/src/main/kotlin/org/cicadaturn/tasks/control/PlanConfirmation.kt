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

/** Reads and puts of one confirmation; with a store that hangs, a call still ends within about 10 s. */
private const val CONFIRM_ROUNDS = 4

/**
 * Puts plans into force by a conditional put.
 *
 * Each round reads the configuration and decides from what it reads: the plan has taken effect, the revision has
 * moved, or the put is made with the version that was read. A put whose answer was lost is decided the same way by
 * the next round, and repeating it is safe because only one put can meet the version.
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

        /** The round decided nothing; [maySucceed] is true if the plan may have taken effect or its put may still do so. */
        class Open(
            val error: ControlError,
            val maySucceed: Boolean,
        ) : Round
    }

    suspend fun confirm(
        plan: Plan,
        operator: Operator,
    ): Either<ControlError, AcceptedChange> {
        var undecided = false
        var last: ControlError = ControlError.Undecided("not tried")
        for (number in 1..CONFIRM_ROUNDS) {
            if (number > 1) delay(backoff.delayBefore(number - 1))
            when (val round = round(plan, operator)) {
                is Round.Ended -> {
                    return round.result
                }

                is Round.Open -> {
                    undecided = undecided || round.maySucceed
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
        val stored = plans.configuration().getOrElse { return Round.Open(it, maySucceed = false) }
        val before = stored.configuration
        val earlier = earlierResult(before, plan).getOrElse { return Round.Open(it, maySucceed = true) }
        if (earlier != null) return Round.Ended(earlier.right())
        return applyPlan(before, plan, operator, clock.now()).fold(
            { Round.Ended(refusal(it).left()) },
            { put(stored, it) },
        )
    }

    /**
     * Returns how [plan] was accepted if it has taken effect, or null.
     *
     * It may have taken effect some revisions ago, by a put whose answer was lost.
     */
    private suspend fun earlierResult(
        current: Configuration,
        plan: Plan,
    ): Either<ControlError, AcceptedChange?> {
        if (isResultOf(current, plan)) return inForce(current).right()
        if (current.revision <= resultingRevision(plan)) return null.right()
        return plans.history(resultingRevision(plan)).map { change -> change?.takeIf { it.change == plan.change } }
    }

    private suspend fun put(
        before: StoredConfiguration,
        after: Configuration,
    ): Round {
        // The next revision overwrites what the store knows of this one, so its history is kept first.
        plans.keepHistory(acceptedChange(before.configuration)).onLeft { return Round.Open(it, maySucceed = false) }
        return store.put(CONFIGURATION_KEY, encodeConfiguration(after), before.version).fold(
            { putFailed(it) },
            { Round.Ended(inForce(after).right()) },
        )
    }

    private fun putFailed(error: StoreError): Round =
        when (error) {
            is StoreError.Conflict -> {
                Round.Open(ControlError.Undecided("another change was first"), maySucceed = false)
            }

            is StoreError.Unanswered -> {
                Round.Open(storeFailed(error), maySucceed = true)
            }

            else -> {
                Round.Open(storeFailed(error), maySucceed = false)
            }
        }

    private fun refusal(error: ApplyError): ControlError =
        when (error) {
            is ApplyError.ConfigurationChanged -> ControlError.ConfigurationChanged(error.difference)
            is ApplyError.NotAllowed -> ControlError.NotAllowed(error.operator)
            is ApplyError.Invalid -> ControlError.InvalidIntent(error.error)
        }

    private suspend fun inForce(accepted: Configuration): AcceptedChange {
        val change = acceptedChange(accepted)
        log.info("control: revision {} accepted, by {}: {}", change.revision, change.acceptedBy, change.change)
        // Offered at once, so that it spreads over the connections without waiting for the watch.
        configurationManager.offer(accepted, ConfigurationSource.STORE)
        plans.keepHistory(change).onLeft {
            log.warn("control: history of revision {} is kept with the next change: {}", change.revision, it.failure)
        }
        return change
    }
}
