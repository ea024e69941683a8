package org.cicadaturn.decisions.configuration

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Revision
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Instant

class ConfigurationMergeProperties {
    /**
     * Guards against a revert of the configuration by a stale watch, a lagging peer, or a repeated or reordered offer.
     *
     * Each event is a revision from 0 to 9 from the store or from a peer, or the end of the wait for the store.
     */
    @Property(seed = "7404", tries = 2_000)
    fun `the revision in force never decreases and ends as the highest one received`(
        @ForAll @Size(max = 30) events: List<Int>,
        @ForAll isAwaitingStore: Boolean,
    ) {
        var state = ConfigurationState(isAwaitingStore = isAwaitingStore)
        var highest = -1L
        for (event in events) {
            val before = state.inForce?.revision
            val number = Math.floorMod(event, 10).toLong()
            val kind = Math.floorMod(event / 10, 5)
            state =
                when {
                    kind == 0 -> stopAwaitingStore(state)
                    kind < 3 -> offerConfiguration(state, configuration(number), ConfigurationSource.STORE)
                    else -> offerConfiguration(state, configuration(number), ConfigurationSource.PEER)
                }
            if (kind != 0) highest = maxOf(highest, number)
            val after = state.inForce?.revision
            if (before != null) assertTrue(after != null && after >= before)
        }
        val final = stopAwaitingStore(state).inForce?.revision
        assertEquals(highest.takeIf { it >= 0 }?.let { Revision(it) }, final)
    }

    /** Guards against a process that starts without a configuration and uses the older revision of a lagging peer. */
    @Test
    fun `a starting process uses no configuration of a peer before the store has answered`() {
        val awaiting =
            offerConfiguration(ConfigurationState(isAwaitingStore = true), configuration(3), ConfigurationSource.PEER)
        assertNull(awaiting.inForce)
        val answered = offerConfiguration(awaiting, configuration(5), ConfigurationSource.STORE)
        assertEquals(Revision(5), answered.inForce?.revision)
        assertEquals(true, answered.inForce?.current)
        val withoutStore = stopAwaitingStore(awaiting)
        assertEquals(Revision(3), withoutStore.inForce?.revision)
        assertEquals(false, withoutStore.inForce?.current)
    }

    /** Guards against a process that counts as current although a peer has a revision that the store did not supply. */
    @Property(seed = "7404", tries = 200)
    fun `only the store makes a revision current`(
        @ForAll @IntRange(min = 0, max = 9) store: Int,
        @ForAll @IntRange(min = 0, max = 9) peer: Int,
    ) {
        val first = offerConfiguration(ConfigurationState(), configuration(store.toLong()), ConfigurationSource.STORE)
        val second = offerConfiguration(first, configuration(peer.toLong()), ConfigurationSource.PEER)
        assertEquals(peer <= store, second.inForce?.current)
    }

    private fun configuration(revision: Long): Configuration =
        Configuration(Revision(revision), Instant.fromEpochSeconds(0), "test")
}
