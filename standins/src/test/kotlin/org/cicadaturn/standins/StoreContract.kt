package org.cicadaturn.standins

import arrow.core.Either
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulated store and a factory of its clients; the contract holds for every implementation of both. */
class StoreFixture(
    val control: StoreControl,
    private val connect: (FailureDomainId, Duration) -> ObjectStore,
) {
    /** Client with a timeout that its calls do not reach even on a busy machine. */
    val store: ObjectStore = client(DOMAIN)

    /** Client for calls that are expected to time out. */
    val shortTimeoutStore: ObjectStore = connect(DOMAIN, 100.milliseconds)

    fun client(domain: FailureDomainId): ObjectStore = connect(domain, 30.seconds)

    fun shortTimeoutClient(domain: FailureDomainId): ObjectStore = connect(domain, 100.milliseconds)
}

/**
 * Rule of the store contract; [guardsAgainst] describes the failure that it guards against.
 *
 * With [virtualTimeOnly], the result depends on the order in which two waits end, which real time cannot guarantee.
 */
class ContractCase(
    val name: String,
    val guardsAgainst: String,
    val virtualTimeOnly: Boolean = false,
    val check: suspend StoreFixture.() -> Unit,
)

/** Limits for the contract, with a short history so that a few changes cause compaction. */
val contractLimits = StoreLimits(historyEvents = 4)

val DOMAIN = FailureDomainId("domain-1")
val OTHER_DOMAIN = FailureDomainId("domain-2")
val NO_WAIT = Duration.ZERO
val LONG_WAIT = 600.seconds

fun <T> Either<StoreError, T>.value(): T = fold({ throw AssertionError("failed: ${it.message}") }, { it })

fun assertFails(
    expected: StoreError,
    result: Either<StoreError, *>,
) = assertEquals(expected, result.leftOrNull())

fun assertUnanswered(result: Either<StoreError, *>) {
    assertInstanceOf(StoreError.Unanswered::class.java, result.leftOrNull()) { "got $result" }
}

fun assertUnavailable(result: Either<StoreError, *>) {
    assertInstanceOf(StoreError.Unavailable::class.java, result.leftOrNull()) { "got $result" }
}

fun assertRejected(result: Either<StoreError, *>) {
    assertInstanceOf(StoreError.Rejected::class.java, result.leftOrNull()) { "got $result" }
}

suspend fun StoreFixture.create(
    key: String,
    value: String = "v",
): Version = store.put(key, value, null).value()

suspend fun StoreFixture.assertStored(
    key: String,
    version: Version,
    value: String,
) = assertEquals(StoredObject(key, version, value), store.get(key).value())
