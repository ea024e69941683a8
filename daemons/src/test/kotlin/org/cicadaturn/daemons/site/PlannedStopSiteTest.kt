package org.cicadaturn.daemons.site

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.createDirectories
import kotlin.io.path.deleteRecursively
import kotlin.time.Duration.Companion.seconds

/**
 * Tests what callers get from gateway processes that are stopped and started one after the other.
 *
 * The properties `site.seed`, `site.seconds`, `site.gateways`, `site.groups`, `site.roughness`, `site.overlap`,
 * `site.tail` and `site.unframed` allow other and longer runs. The logs of the gateways and all events stay in
 * `target/site`.
 */
class PlannedStopSiteTest {
    private val plan =
        SitePlan(
            seed = Integer.getInteger("site.seed", 1),
            gateways = Integer.getInteger("site.gateways", 4),
            groups = Integer.getInteger("site.groups", 2),
            roughness = System.getProperty("site.roughness", "2.0").toDouble(),
            overlap = System.getProperty("site.overlap", "0.5").toDouble(),
            tail = System.getProperty("site.tail", "1.0").toDouble(),
            unframed = System.getProperty("site.unframed", "0.125").toDouble(),
        )
    private val length = Integer.getInteger("site.seconds", 25).seconds
    private val directory = emptyDirectory("target/site/seed-${plan.seed}")

    @OptIn(ExperimentalPathApi::class)
    private fun emptyDirectory(path: String): Path = Path.of(path).also { it.deleteRecursively() }.createDirectories()

    /** Guards against requests around planned stops that a gateway has read or passed on and that get no whole answer. */
    @Test
    fun `planned stops of gateway processes lose no request`() {
        val events =
            Site(plan, directory).use { site ->
                runBlocking {
                    site.start()
                    site.run(length)
                }
                site.journal.drain()
            }
        val report = SiteReport(events, directory)
        println("site $plan, $length")
        report.print()
        assertTrue(report.stops.size >= 2)
        assertTrue(report.attempts.count { it.status == OK } > report.attempts.size / 2)
        assertEquals(emptyList<AttemptSeen>(), report.wrong)
        assertEquals(emptyList<String>(), report.lost)
    }
}
