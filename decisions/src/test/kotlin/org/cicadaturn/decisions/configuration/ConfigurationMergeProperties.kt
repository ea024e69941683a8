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
     * Guards against a configuration that reverts by a stale watch, a lagging peer, a repeated or a reordered offer.
     *
     * Each event is a revision from 0 to 9 from the store or from a peer, or the end of the hold.
     */
    @Property(seed = "7404", tries = 2_000)
    fun `the revision in force never falls and is the highest that counts`(
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

    /** Guards against a process that starts empty beside a peer that is behind and acts on an older revision. */
    @Test
    fun `a starting process takes no peer's configuration before the store has answered`() {
        val behind =
            offerConfiguration(ConfigurationState(isAwaitingStore = true), configuration(3), ConfigurationSource.PEER)
        assertNull(behind.inForce)
        val told = offerConfiguration(behind, configuration(5), ConfigurationSource.STORE)
        assertEquals(Revision(5), told.inForce?.revision)
        assertEquals(true, told.inForce?.current)
        val alone = stopAwaitingStore(behind)
        assertEquals(Revision(3), alone.inForce?.revision)
        assertEquals(false, alone.inForce?.current)
    }

    /** Guards against a process that claims to be current although its peer knows a revision the store did not give. */
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
