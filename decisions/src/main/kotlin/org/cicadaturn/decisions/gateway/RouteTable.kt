package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Route
import org.cicadaturn.schema.generated.RoutingConfiguration

/** Index of one configuration for the admission of requests. */
public interface RouteTable {
    /** Configuration that the index was made from. */
    public val configuration: RoutingConfiguration

    /**
     * Decides whether a request to [path] of [host] with bearer key [key] is served, and by which route.
     *
     * The longest matching prefix wins. [path] has no query; [host] may have a port and any case.
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
     * @property organisation owner of the key; null without keys or on a public route
     * @property priority 0 is served first under overload
     */
    public data class Admitted(
        val route: Route,
        val organisation: OrganisationId?,
        val priority: Int,
    ) : Admission

    /** No route matches. */
    public data object UnknownRoute : Admission

    /** The route needs a key and the request's is missing or unknown. */
    public data object UnknownKey : Admission
}

/** Returns the index of [configuration]; building it takes time in proportion to its routes and keys. */
public fun routeTable(configuration: RoutingConfiguration): RouteTable = HostRouteTable(configuration)

private class HostRouteTable(
    override val configuration: RoutingConfiguration,
) : RouteTable {
    private class Owner(
        val organisation: OrganisationId,
        val priority: Int?,
    )

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
            routes[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
                ?: return Admission.UnknownRoute
        val owner = key?.let { owners?.get(it) }
        if (owners != null && owner == null && !route.public) return Admission.UnknownKey
        return Admission.Admitted(route, owner?.organisation, owner?.priority ?: route.priority)
    }
}
