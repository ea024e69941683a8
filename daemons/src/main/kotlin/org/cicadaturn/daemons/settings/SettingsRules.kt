package org.cicadaturn.daemons.settings

import org.cicadaturn.schema.generated.NetworkAddress
import java.nio.file.Path
import kotlin.time.Duration

/** Parsed value together with its text in the file. */
internal data class ParsedValue(
    val text: String,
    val value: SettingsValue,
)

/** Valid values of a file, including defaults, by section and key; they may still contradict each other. */
internal data class SettingsValues(
    val file: Path,
    val values: Map<Pair<String, String>, ParsedValue>,
) {
    fun integer(
        section: String,
        key: String,
    ): Int? = (values[section to key]?.value as? SettingsValue.Integer)?.number

    fun duration(
        section: String,
        key: String,
    ): Duration? = (values[section to key]?.value as? SettingsValue.Time)?.duration

    fun addresses(
        section: String,
        key: String,
    ): List<NetworkAddress> =
        when (val value = values[section to key]?.value) {
            is SettingsValue.Address -> listOf(value.address)
            is SettingsValue.Addresses -> value.addresses
            else -> emptyList()
        }

    fun contradiction(
        section: String,
        key: String,
        allowed: String,
        remedy: String,
    ): SettingsFault.Contradiction {
        val text = values.getValue(section to key).text
        return SettingsFault.Contradiction(SettingsLocation(file, section, key), text, allowed, remedy)
    }
}

/** Rule that checks values against each other; it reports nothing if one of them is missing or invalid. */
internal typealias SettingsRule = (SettingsValues) -> List<SettingsFault.Contradiction>

/** Rules between keys, for all roles. */
internal val settingsRules: List<SettingsRule> =
    listOf(
        ::keepaliveTimeoutExceedsInterval,
        ::coldBoundIsWithinWarmBound,
        ::requestFitsIntoFrame,
        ::connectedAddressesHavePorts,
        ::listenersDiffer,
        ::backendIsNotThisProcess,
    )

/** Maximum size of a frame between processes; see section 4 of the design page. */
private const val MAX_FRAME_BYTES = 1_048_576

/** Space in an open frame for the path, the identifiers and the encoding overhead of body and headers. */
private const val FRAME_RESERVE_BYTES = 16_384

private val listeners =
    listOf(
        "process" to "admin-listen",
        "entry" to "listen",
        "entry" to "peer-listen",
        "gateway" to "listen",
        "gateway" to "ready-listen",
        "gateway" to "peer-listen",
        "endpoint" to "listen",
    )

private val connectTargets =
    listOf(
        "store" to "address",
        "entry" to "peers",
        "gateway" to "seeds",
        "endpoint" to "backend",
    )

private fun keepaliveTimeoutExceedsInterval(v: SettingsValues): List<SettingsFault.Contradiction> {
    val interval = v.duration("wire", "keepalive-interval") ?: return emptyList()
    val timeout = v.duration("wire", "keepalive-timeout") ?: return emptyList()
    if (timeout > interval) return emptyList()
    val remedy = "raise keepalive-timeout or lower keepalive-interval"
    return listOf(
        v.contradiction("wire", "keepalive-timeout", "a time longer than keepalive-interval, $interval", remedy),
    )
}

private fun coldBoundIsWithinWarmBound(v: SettingsValues): List<SettingsFault.Contradiction> {
    val cold = v.integer("endpoint", "cold-bound") ?: return emptyList()
    val warm = v.integer("endpoint", "warm-bound") ?: return emptyList()
    if (cold <= warm) return emptyList()
    return listOf(
        v.contradiction("endpoint", "cold-bound", "at most warm-bound, $warm", "lower cold-bound or raise warm-bound"),
    )
}

/** Ensures that a request fits into a frame; a longer frame closes the connection and fails every stream on it. */
private fun requestFitsIntoFrame(v: SettingsValues): List<SettingsFault.Contradiction> {
    val body = v.integer("entry", "max-body") ?: return emptyList()
    val header = v.integer("entry", "max-header") ?: return emptyList()
    val maximum = MAX_FRAME_BYTES - FRAME_RESERVE_BYTES - header
    if (body <= maximum) return emptyList()
    val allowed = "at most $maximum with max-header = $header, so that a request fits into one frame"
    return listOf(v.contradiction("entry", "max-body", allowed, "lower max-body or max-header"))
}

private fun connectedAddressesHavePorts(v: SettingsValues): List<SettingsFault.Contradiction> =
    connectTargets
        .filter { (section, key) -> v.addresses(section, key).any { it.port == 0 } }
        .map { (section, key) ->
            v.contradiction(
                section,
                key,
                "a port from 1 to 65535, as the process connects there",
                "give the port of the listener",
            )
        }

private fun listenersDiffer(v: SettingsValues): List<SettingsFault.Contradiction> =
    listeners.flatMapIndexed { i, (section, key) ->
        val own = v.addresses(section, key)
        val earlier = listeners.take(i).filter { (s, k) -> v.addresses(s, k).any { a -> own.any { overlaps(a, it) } } }
        earlier.map { (s, k) ->
            v.contradiction(
                section,
                key,
                "an address other than $k in [$s]",
                "give each listener its own port, or port 0",
            )
        }
    }

private fun backendIsNotThisProcess(v: SettingsValues): List<SettingsFault.Contradiction> {
    val backend = v.addresses("endpoint", "backend")
    val own = listeners.filter { (s, k) -> v.addresses(s, k).any { a -> backend.any { overlaps(a, it) } } }
    return own.map { (s, k) ->
        v.contradiction(
            "endpoint",
            "backend",
            "an address other than $k in [$s] of this process",
            "give the back end's address",
        )
    }
}

private fun overlaps(
    a: NetworkAddress,
    b: NetworkAddress,
): Boolean = a.port != 0 && a.port == b.port && (a.ip == b.ip || isWildcard(a) || isWildcard(b))

private fun isWildcard(address: NetworkAddress): Boolean = address.ip == "0.0.0.0" || address.ip == "::"
