package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.CallerLimits
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Route
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.schema.generated.RoutingConfiguration
import org.cicadaturn.schema.generated.ServiceId
import org.cicadaturn.schema.generated.ServiceShare
import org.cicadaturn.schema.generated.Tenancy
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

class RouteTableTest {
    private fun route(
        name: String,
        prefix: String,
        public: Boolean = false,
    ) = Route(
        name = name,
        host = "Shop.Example",
        pathPrefix = prefix,
        kind = RouteKind.IDEMPOTENT,
        public = public,
        shares = listOf(ServiceShare(ServiceId("s"), 1)),
        timeout = 1.seconds,
        latencyTarget = 1.seconds,
        priority = 5,
    )

    private val table =
        routeTable(
            RoutingConfiguration(
                version = 1,
                routes =
                    listOf(
                        route("short", "/a/"),
                        route("long", "/a/b/"),
                        route("open", "/open/", public = true),
                        route("bare", "/bare"),
                    ),
                services = emptyList(),
                tenancies = listOf(Tenancy(OrganisationId("org"), listOf("key"), priority = 1)),
                limits = CallerLimits(),
            ),
        )

    /** Guards against a request that is routed by a shorter prefix than the longest one that matches. */
    @Test
    fun `the longest prefix wins, whatever the case of the host and its port`() {
        val admitted = assertInstanceOf(Admission.Admitted::class.java, table.admit("shop.example:80", "/a/b/c", "key"))
        assertEquals("long", admitted.route.name)
        assertEquals(OrganisationId("org"), admitted.organisation)
        assertEquals(1, admitted.priority)
    }

    /** Guards against a prefix that matches within a path segment. */
    @Test
    fun `a prefix matches whole segments only`() {
        assertEquals(Admission.UnknownRoute, table.admit("shop.example", "/ab/", "key"))
        assertEquals(Admission.UnknownRoute, table.admit("other.example", "/a/", "key"))
        assertEquals(Admission.UnknownRoute, table.admit("shop.example", "/barefoot", "key"))
        assertInstanceOf(Admission.Admitted::class.java, table.admit("shop.example", "/bare/foot", "key"))
        assertInstanceOf(Admission.Admitted::class.java, table.admit("shop.example", "/bare", "key"))
    }

    /** Guards against a request that is served without a key of any organisation. */
    @Test
    fun `an unknown key is refused except on public routes`() {
        assertEquals(Admission.UnknownKey, table.admit("shop.example", "/a/", "wrong"))
        assertEquals(Admission.UnknownKey, table.admit("shop.example", "/a/", null))
        assertInstanceOf(Admission.Admitted::class.java, table.admit("shop.example", "/open/x", null))
    }
}
