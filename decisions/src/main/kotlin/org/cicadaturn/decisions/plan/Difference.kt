package org.cicadaturn.decisions.plan

import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.ConfigurationDifference
import org.cicadaturn.schema.generated.KeyChange
import org.cicadaturn.schema.generated.KeyChangeKind
import org.cicadaturn.schema.generated.KeyKind
import org.cicadaturn.schema.generated.KeyPrint
import org.cicadaturn.schema.generated.Revision

private const val FINGERPRINT_DIGITS = 8

/** Returns a fingerprint of each key of [configuration]; a key here is the kind and identifier of an entry. */
internal fun fingerprints(configuration: Configuration): List<KeyPrint> =
    configuration.failureDomains.map { fingerprint(KeyKind.FAILURE_DOMAIN, it.id.text, it) } +
        configuration.endpoints.map { fingerprint(KeyKind.ENDPOINT, it.id.text, it) } +
        configuration.services.map { fingerprint(KeyKind.SERVICE, it.id.text, it) } +
        configuration.organisations.map { fingerprint(KeyKind.ORGANISATION, it.id.text, it) } +
        configuration.operators.map { fingerprint(KeyKind.OPERATOR, it.name, it) }

/**
 * Returns the keys of [configuration] that differ from the [basis] of a plan made from revision [madeFrom].
 *
 * The fingerprints only serve to explain a refusal to the operator. Whether a plan may take effect depends on the
 * revision and on the version in the store.
 */
internal fun difference(
    madeFrom: Revision,
    basis: List<KeyPrint>,
    configuration: Configuration,
): ConfigurationDifference {
    val before = basis.associate { (it.kind to it.id) to it.fingerprint }
    val after = fingerprints(configuration).associate { (it.kind to it.id) to it.fingerprint }
    val keys =
        (before.keys + after.keys).mapNotNull { key ->
            val change =
                when {
                    key !in before -> KeyChangeKind.ADDED
                    key !in after -> KeyChangeKind.REMOVED
                    before[key] != after[key] -> KeyChangeKind.CHANGED
                    else -> null
                }
            change?.let { KeyChange(key.first, key.second, it) }
        }
    return ConfigurationDifference(
        madeFrom = madeFrom,
        current = configuration.revision,
        acceptedBy = configuration.acceptedBy,
        change = configuration.change,
        keys = keys.sortedWith(compareBy({ it.kind }, { it.id })),
    )
}

private fun fingerprint(
    kind: KeyKind,
    id: String,
    value: Any,
): KeyPrint = KeyPrint(kind, id, digestOf(value.toString()).text.take(FINGERPRINT_DIGITS))
