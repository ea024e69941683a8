package org.cicadaturn.decisions.plan

import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.ConfigurationDifference
import org.cicadaturn.schema.generated.KeyChange
import org.cicadaturn.schema.generated.KeyChangeKind
import org.cicadaturn.schema.generated.KeyKind
import org.cicadaturn.schema.generated.KeyPrint
import org.cicadaturn.schema.generated.Revision

private const val PRINT_DIGITS = 8

/** Returns a fingerprint of each key of [configuration]. */
internal fun keyPrints(configuration: Configuration): List<KeyPrint> =
    configuration.failureDomains.map { print(KeyKind.FAILURE_DOMAIN, it.id.text, it) } +
        configuration.endpoints.map { print(KeyKind.ENDPOINT, it.id.text, it) } +
        configuration.services.map { print(KeyKind.SERVICE, it.id.text, it) } +
        configuration.organisations.map { print(KeyKind.ORGANISATION, it.id.text, it) } +
        configuration.operators.map { print(KeyKind.OPERATOR, it.name, it) }

/**
 * Returns which keys of [configuration] differ from the [basis] of a plan made from revision [madeFrom].
 *
 * The fingerprints only explain a refusal to the operator; whether a plan may take effect is decided by the
 * revision and by the store's version.
 */
internal fun difference(
    madeFrom: Revision,
    basis: List<KeyPrint>,
    configuration: Configuration,
): ConfigurationDifference {
    val before = basis.associate { (it.kind to it.id) to it.fingerprint }
    val after = keyPrints(configuration).associate { (it.kind to it.id) to it.fingerprint }
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

private fun print(
    kind: KeyKind,
    id: String,
    value: Any,
): KeyPrint = KeyPrint(kind, id, digestOf(value.toString()).text.take(PRINT_DIGITS))
