package org.cicadaturn.tasks.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.AcceptedChange
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Plan
import org.cicadaturn.schema.generated.PlanId
import org.cicadaturn.schema.generated.Revision
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.configuration.CONFIGURATION_KEY
import org.cicadaturn.tasks.configuration.decodeConfiguration
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError

/** Maximum number of attempts to create an object; each put is conditional, so repeating it is safe. */
private const val MAX_CREATE_ATTEMPTS = 3

private val planIdPattern = Regex("[A-Za-z0-9-]{1,64}")

private val storedJson = Json { ignoreUnknownKeys = true }

/** Configuration as read from the store, with the version that a conditional put must expect. */
internal class StoredConfiguration(
    val configuration: Configuration,
    val version: Version,
)

/** Reads and writes plans and the history of changes in [store]. */
internal class StoredPlans(
    private val store: ObjectStore,
) {
    suspend fun configuration(): Either<ControlError, StoredConfiguration> =
        store.get(CONFIGURATION_KEY).fold(
            { storeFailed(it).left() },
            { stored ->
                decodeConfiguration(stored.value)
                    .mapLeft { ControlError.StoreFailed(it) }
                    .map { StoredConfiguration(it, stored.version) }
            },
        )

    suspend fun save(plan: Plan): Either<ControlError, Plan> =
        create(planKey(plan.id), storedJson.encodeToString(Plan.serializer(), plan)).mapLeft(::storeFailed).map { plan }

    suspend fun plan(id: PlanId): Either<ControlError, Plan> {
        // The caller chooses the text, and other text could form the key of an object that is not a plan.
        if (!planIdPattern.matches(id.text)) return ControlError.UnknownPlan(id).left()
        return store
            .get(planKey(id))
            .mapLeft { if (it is StoreError.NotFound) ControlError.UnknownPlan(id) else storeFailed(it) }
            .flatMap { decode(Plan.serializer(), it.value) }
    }

    suspend fun saveHistory(change: AcceptedChange): Either<ControlError, Unit> =
        create(historyKey(change.revision), storedJson.encodeToString(AcceptedChange.serializer(), change))
            .mapLeft(::storeFailed)

    /** Returns the change that made [revision], or null if the history does not contain it. */
    suspend fun history(revision: Revision): Either<ControlError, AcceptedChange?> =
        store.get(historyKey(revision)).fold(
            { if (it is StoreError.NotFound) null.right() else storeFailed(it).left() },
            { decode(AcceptedChange.serializer(), it.value) },
        )

    /**
     * Creates an immutable object.
     *
     * An existing object counts as success, because an earlier attempt or another entry process has written it.
     */
    private suspend fun create(
        key: String,
        value: String,
    ): Either<StoreError, Unit> {
        var result: Either<StoreError, Unit> = Unit.right()
        repeat(MAX_CREATE_ATTEMPTS) {
            result = store.put(key, value, expected = null).map { }
            val error = result.swap().getOrNull()
            if (error == null || error is StoreError.Conflict) return Unit.right()
            if (error !is StoreError.Unanswered) return result
        }
        return result
    }

    private fun <T> decode(
        serializer: KSerializer<T>,
        text: String,
    ): Either<ControlError, T> =
        try {
            storedJson.decodeFromString(serializer, text).right()
        } catch (e: IllegalArgumentException) {
            ControlError.StoreFailed("an object is not understood: ${e.message.orEmpty().take(200)}").left()
        }
}

/** Returns the change that made [configuration]. */
internal fun acceptedChange(configuration: Configuration): AcceptedChange =
    AcceptedChange(configuration.revision, configuration.acceptedAt, configuration.acceptedBy, configuration.change)

private fun planKey(id: PlanId): String = "plans/$id"

private fun historyKey(revision: Revision): String = "history/$revision"
