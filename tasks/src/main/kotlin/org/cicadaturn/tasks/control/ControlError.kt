package org.cicadaturn.tasks.control

import org.cicadaturn.decisions.plan.PlanError
import org.cicadaturn.schema.generated.ConfigurationDifference
import org.cicadaturn.schema.generated.ControlFailure
import org.cicadaturn.schema.generated.PlanId
import org.cicadaturn.tasks.store.StoreError

/** Reason why an operator's call was refused or its result is not known. */
public sealed interface ControlError {
    /** HTTP status of the answer. */
    public val status: Int

    /** Body of the answer. */
    public val failure: ControlFailure

    /** The key of the call belongs to no operator of the configuration in force. */
    public data object Unauthenticated : ControlError {
        override val status: Int get() = 401
        override val failure: ControlFailure get() =
            ControlFailure(
                "unauthenticated",
                "the key belongs to no operator",
                "give the key of an operator as bearer token",
            )
    }

    /** The call needs the permission to confirm changes, which [operator] does not have. */
    public data class NotAllowed(
        val operator: String,
    ) : ControlError {
        override val status: Int get() = 403
        override val failure: ControlFailure get() =
            ControlFailure(
                "not_allowed",
                "operator $operator may not confirm changes",
                "ask an operator who may confirm",
            )
    }

    /** The process has no configuration yet, so it cannot authenticate operators. */
    public data object NotReady : ControlError {
        override val status: Int get() = 503
        override val failure: ControlFailure get() =
            ControlFailure("not_ready", "this process has no configuration yet", "ask another process, or wait")
    }

    /** The body of the call cannot be decoded. */
    public data class InvalidBody(
        val detail: String,
    ) : ControlError {
        override val status: Int get() = 400
        override val failure: ControlFailure get() =
            ControlFailure("invalid_body", detail, "send JSON as the schema file control.json describes it")
    }

    /** No plan with the identifier [plan] is stored. */
    public data class UnknownPlan(
        val plan: PlanId,
    ) : ControlError {
        override val status: Int get() = 404
        override val failure: ControlFailure get() =
            ControlFailure("unknown_plan", "there is no plan $plan", "use the identifier that 'ctl plan' printed")
    }

    /** No plan can be made for the intent, or its plan can no longer be applied. */
    public data class InvalidIntent(
        val error: PlanError,
    ) : ControlError {
        override val status: Int get() = 422
        override val failure: ControlFailure get() = ControlFailure(error.code, error.message, error.remedy)
    }

    /** The configuration has changed since the plan was made, and the plan was not applied. */
    public data class ConfigurationChanged(
        val difference: ConfigurationDifference,
    ) : ControlError {
        override val status: Int get() = 409
        override val failure: ControlFailure get() =
            ControlFailure(
                "configuration_moved",
                "the plan was made from revision ${difference.madeFrom}, and revision ${difference.current} is accepted",
                "read the difference and plan again",
                difference,
            )
    }

    /** The store failed before this call could change anything. */
    public data class StoreFailed(
        val detail: String,
    ) : ControlError {
        override val status: Int get() = 503
        override val failure: ControlFailure get() =
            ControlFailure("store_unavailable", "this call changed nothing: $detail", "repeat the call")
    }

    /** The plan may or may not have been applied. */
    public data class Undecided(
        val detail: String,
    ) : ControlError {
        override val status: Int get() = 504
        override val failure: ControlFailure get() =
            ControlFailure(
                "undecided",
                "the change may or may not have taken effect: $detail",
                "confirm the same plan again; it takes effect at most once",
            )
    }
}

internal fun storeFailed(error: StoreError): ControlError = ControlError.StoreFailed(error.message)
