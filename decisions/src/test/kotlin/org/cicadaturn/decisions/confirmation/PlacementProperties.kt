package org.cicadaturn.decisions.confirmation

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import net.jqwik.api.constraints.StringLength
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ServiceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

class PlacementProperties {
    private val service = ServiceId("booking")

    /** Guards against two processes that compute different shards for the same key. */
    @Property(seed = "11")
    fun `the shard of a key is stable and in range`(
        @ForAll text: String,
        @ForAll @IntRange(min = 1, max = 5_000) shards: Int,
    ) {
        val digest = digestOf(text.toByteArray())
        assertEquals(shardOf(digest, shards), shardOf(digest, shards))
        assertTrue(shardOf(digest, shards) in 0 until shards)
    }

    /** Guards against the reassignment of shards whose endpoint remains. */
    @Property(seed = "12")
    fun `only the shards of an endpoint that leaves are reassigned`(
        @ForAll @IntRange(min = 0, max = 63) shard: Int,
        @ForAll @Size(min = 2, max = 12) @IntRange(min = 0, max = 1_000) numbers: Set<Int>,
    ) {
        val live = numbers.map { EndpointId("endpoint-$it") }
        val chosen = preferredEndpoint(service, shard, live)
        assertEquals(chosen, preferredEndpoint(service, shard, live.reversed()))
        for (leaving in live.filter { it != chosen }) {
            assertEquals(chosen, preferredEndpoint(service, shard, live - leaving))
        }
    }

    /** Guards against equal key digests for requests of different callers. */
    @Property(seed = "13")
    fun `moving a character from one part of a key to the next changes the digest`(
        @ForAll @StringLength(min = 1, max = 20) organisation: String,
        @ForAll @StringLength(min = 1, max = 20) idempotencyKey: String,
    ) {
        val request = ConfirmationRequest("POST", "/orders", byteArrayOf(1, 2))
        val key = confirmationKey(OrganisationId(organisation), service, idempotencyKey, request)
        val moved = OrganisationId(organisation + idempotencyKey.first())
        val other = confirmationKey(moved, service, idempotencyKey.drop(1), request)
        assertNotEquals(key.key, other.key)
        assertEquals(key.body, other.body)
    }

    /** Guards against a changed request that gets the answer of the original one. */
    @Property(seed = "14")
    fun `a change of method, path or body changes the body digest`(
        @ForAll body: ByteArray,
    ) {
        val organisation = OrganisationId("survey")
        val request = ConfirmationRequest("POST", "/orders", body)
        val key = confirmationKey(organisation, service, "k", request)
        val changes =
            listOf(
                ConfirmationRequest("PUT", "/orders", body),
                ConfirmationRequest("POST", "/order", body),
                ConfirmationRequest("POST", "/orders", body + 0),
            )
        for (change in changes) {
            val other = confirmationKey(organisation, service, "k", change)
            assertNotEquals(key.body, other.body)
            assertEquals(key.key, other.key)
        }
    }

    /** Guards against an uneven distribution of shards, and against a failure when no endpoint is live. */
    @Property(tries = 1, seed = "15")
    fun `shards are distributed over all endpoints`() {
        assertNull(preferredEndpoint(service, 0, emptyList()))
        val live = (1..3).map { EndpointId("endpoint-$it") }
        val shares = (0 until CONFIRMATION_SHARDS).groupingBy { preferredEndpoint(service, it, live) }.eachCount()
        assertEquals(3, shares.size)
        assertTrue(shares.values.all { it in 10..35 }, shares.toString())
    }
}
