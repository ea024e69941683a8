package org.cicadaturn.decisions.experts

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MapVersionsTest {
    /** Guards against a version that a leader and the next one give to different maps, so that ranks use both. */
    @Test
    fun `a leader that changes the map often gives out no version of the next leader`() {
        val leader = mapVersions()
        val given = generateSequence { leader.next(token = 7, inUse = 0) }.take(MANY).toSet()
        // The next leader may not know what the ranks have, as orders without an answer are carried out later.
        val first = mapVersions().next(token = 8, inUse = 0)!!
        assertTrue(given.max() < first, "${given.max()} and $first")
        assertNull(leader.next(token = 7, inUse = given.max()))
        assertEquals(first, leader.next(token = 8, inUse = 0))
    }

    /** Guards against groups that are not balanced any more after the tokens of a restored store began again. */
    @Test
    fun `versions beyond the range of the token are continued`() {
        val versions = mapVersions()
        assertEquals(900_001, versions.next(token = 3, inUse = 900_000))
        assertEquals(900_002, versions.next(token = 3, inUse = 900_001))
    }

    private companion object {
        /** More than the range of a token. */
        const val MANY = 25_000
    }
}
