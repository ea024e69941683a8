package org.cicadaturn.daemons.site

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal const val ENGINE_SERVICE = "redator"
internal const val PLAIN_SERVICE = "balcao"

/** Requests of the deployment premia-ne. */
internal val DEMANDS =
    listOf(
        Demand("medal-draft", 17.9, 8_017.milliseconds, 8.seconds, isStream = true),
        Demand("plaque-draft", 13.5, 8_020.milliseconds, 8.seconds, isStream = true),
        Demand("trophy-draft", 7.84, 8_018.milliseconds, 8.seconds, isStream = true),
        Demand("order-confirm", 3.35, 1_009.milliseconds, 1.seconds, isStream = false),
        Demand("status-read", 2.1, 1_007.milliseconds, 1.seconds, isStream = false, method = "GET"),
    )

/** Bounds of the deployment premia-ne that the settings template uses. */
internal val BOUNDS =
    mapOf(
        "grace_s" to "${GRACE.inWholeSeconds}",
        "cold_over" to "1.5",
        "cold_slack" to "5",
        "retry_budget_ratio" to "0.2",
        "budget_slack" to "92",
        "budget_window_s" to "10",
    )

/** Returns the content of the object config/main with all routes, and [extraRoutes] that no caller uses. */
internal fun siteConfiguration(
    version: Int,
    extraRoutes: Int = 0,
): String {
    val extra = List(extraRoutes) { DEMANDS.last().copy(route = "extra-$it") }
    val routes = (DEMANDS + extra).joinToString(",", transform = ::routeOf)
    val tenants = (0 until TENANTS).joinToString(",") { """{"name":"tenant-$it","api_keys":["${keyOf(it)}"]}""" }
    val engine =
        """{"sets":$SETS,"experts":$EXPERTS,"placements":8,"spare":8,""" +
            """"expert_mb":1.0,"link_mbps":14,"report_lag_ms":300,"step_ms":4.55,"per_seq_ms":0.3,"stride":4}"""
    val engines = """{"name":"$ENGINE_SERVICE","max_connections":418,"engine":$engine}"""
    val plain = """{"name":"$PLAIN_SERVICE","max_connections":110}"""
    val limits =
        """{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}"""
    return """{"version":$version,"routes":[$routes],"services":[$engines,$plain],"tenants":[$tenants],""" +
        """"limits":$limits}"""
}

private fun routeOf(demand: Demand): String {
    val kind =
        if (demand.isStream) {
            "streaming"
        } else if (demand.method == "GET") {
            "safe"
        } else {
            "unsafe"
        }
    val target = if (demand.isStream) 501 else 123
    val service = if (demand.isStream) ENGINE_SERVICE else PLAIN_SERVICE
    return """{"name":"${demand.route}","host":"$SITE_HOST","path_prefix":"${demand.prefix}","kind":"$kind",""" +
        """"timeout_ms":${demand.timeout.inWholeMilliseconds},"target_latency_ms":$target,"gap_target_ms":120,""" +
        """"priority":${if (demand.isStream) 1 else 2},"service":"$service","attempts":2,"resumable":${demand.isStream}}"""
}
