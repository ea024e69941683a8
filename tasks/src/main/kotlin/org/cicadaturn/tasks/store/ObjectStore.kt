package org.cicadaturn.tasks.store

import arrow.core.Either
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import kotlin.time.Duration

/**
 * Reads and changes objects of the platform's store.
 *
 * Every call ends within a time limit of the implementation. A call that fails with [StoreError.Unanswered] may have
 * taken effect; the caller must read the object before it acts.
 */
public interface ObjectStore {
    /** Returns the object under [key], or [StoreError.NotFound]. */
    public suspend fun get(key: String): Either<StoreError, StoredObject>

    /** Returns all objects whose key begins with [prefix], and the store version that the list reflects. */
    public suspend fun list(prefix: String): Either<StoreError, StoreList>

    /**
     * Writes [value] under [key] if the object's version is [expected], and returns the new version.
     *
     * A null [expected] means that the object must not exist.
     */
    public suspend fun put(
        key: String,
        value: String,
        expected: Version?,
    ): Either<StoreError, Version>

    /** Deletes the object under [key] if its version is [expected]. */
    public suspend fun delete(
        key: String,
        expected: Version,
    ): Either<StoreError, Unit>

    /**
     * Returns the changes below [prefix] after version [from], waiting up to [wait] for the first one.
     *
     * Fails with [StoreError.Compacted] if changes after [from] are no longer kept; the caller must then list again.
     */
    public suspend fun watch(
        prefix: String,
        from: Version,
        wait: Duration,
    ): Either<StoreError, StoreEvents>
}

/** Reason why a call to the store failed. */
public sealed interface StoreError {
    /** Description of the failure with a remedy, for logs and operators. */
    public val message: String

    /** Another writer changed the object; [current] is its version in the store, null if it does not exist. */
    public data class Conflict(
        val current: Version?,
    ) : StoreError {
        override val message: String get() = "version is now $current; read the object and decide again"
    }

    /** The store has no object with this [key]. */
    public data class NotFound(
        val key: String,
    ) : StoreError {
        override val message: String get() = "no object $key; create it with no expected version"
    }

    /** Changes after the given version are no longer kept; [oldest] is the oldest version to watch from. */
    public data class Compacted(
        val oldest: Version,
    ) : StoreError {
        override val message: String get() = "history begins at version $oldest; list again and watch from there"
    }

    /** The call certainly did not reach the store. */
    public data class Unavailable(
        val detail: String,
    ) : StoreError {
        override val message: String get() = "store not reached ($detail); retry with backoff"
    }

    /** The call got no usable answer and may have taken effect. */
    public data class Unanswered(
        val detail: String,
    ) : StoreError {
        override val message: String get() = "store gave no answer ($detail); read before acting again"
    }

    /** The value is longer than the store allows; [bytes] is its length and [limit] the longest allowed. */
    public data class TooLarge(
        val bytes: Int,
        val limit: Int,
    ) : StoreError {
        override val message: String get() = "value of $bytes bytes is over the limit of $limit; split it"
    }

    /** The store understood the call and refused it. */
    public data class Rejected(
        val status: Int,
        val detail: String,
    ) : StoreError {
        override val message: String get() = "store refused the call with status $status ($detail); correct the call"
    }
}
