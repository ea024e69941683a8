package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Route
import org.cicadaturn.schema.generated.RoutingConfiguration
import kotlin.time.Duration

/** Index of one configuration that decides which requests are admitted. */
public interface RouteTable {
    /** Configuration that the index was built from. */
    public val configuration: RoutingConfiguration

    /** Longest time-out of a route; zero if there are none. */
    public val longestTimeout: Duration

    /**
     * Returns whether a request to [path] of [host] with bearer key [key] is served, and by which route.
     *
     * The longest matching prefix wins. [path] has no query; [host] may include a port, and its case does not matter.
     */
    public fun admit(
        host: String,
        path: String,
        key: String?,
    ): Admission
}

/** Result of [RouteTable.admit]. */
public sealed interface Admission {
    /**
     * The request is served.
     *
     * @property organisation owner of the key; null if no keys are configured, or if the route is public and the key
     * missing or unknown
     * @property priority 0 is served first under overload
     */
    public data class Admitted(
        val route: Route,
        val organisation: OrganisationId?,
        val priority: Int,
    ) : Admission

    /** No route matches. */
    public data object UnknownRoute : Admission

    /** The route needs a key, and the request has none or an unknown one. */
    public data object UnknownKey : Admission
}

/** Returns the index of [configuration]; building it takes time proportional to the number of routes and keys. */
public fun routeTable(configuration: RoutingConfiguration): RouteTable = HostRouteTable(configuration)

private class HostRouteTable(
    override val configuration: RoutingConfiguration,
) : RouteTable {
    private class Owner(
        val organisation: OrganisationId,
        val priority: Int?,
    )

    override val longestTimeout: Duration = configuration.routes.maxOfOrNull { it.timeout } ?: Duration.ZERO

    private val routes: Map<String, List<Route>> =
        configuration.routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    private val owners: Map<String, Owner>? =
        configuration.tenancies?.let { tenancies ->
            tenancies.flatMap { t -> t.keys.map { it to Owner(t.organisation, t.priority) } }.toMap()
        }

    override fun admit(
        host: String,
        path: String,
        key: String?,
    ): Admission {
        val route =
            routes[host.substringBefore(':').lowercase()]?.firstOrNull { matches(it.pathPrefix, path) }
                ?: return Admission.UnknownRoute
        val owner = key?.let { owners?.get(it) }
        if (owners != null && owner == null && !route.public) return Admission.UnknownKey
        return Admission.Admitted(route, owner?.organisation, owner?.priority ?: route.priority)
    }
}

/** Returns true if [path] begins with whole segments of [prefix]. */
private fun matches(
    prefix: String,
    path: String,
): Boolean =
    path.startsWith(prefix) &&
        (prefix.endsWith('/') || path.length == prefix.length || path[prefix.length] in SEGMENT_ENDS)

private const val SEGMENT_ENDS = "/?"
