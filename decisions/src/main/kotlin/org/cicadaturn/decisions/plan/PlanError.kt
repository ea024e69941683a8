package org.cicadaturn.decisions.plan

import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ServiceId

/** Tells why no plan can be made for an intent. */
public sealed interface PlanError {
    /** Stable text for programs. */
    public val code: String

    /** What is wrong, with the wrong value. */
    public val message: String

    /** What the operator can do. */
    public val remedy: String

    /** No [target] has the name [name]; [known] names some that exist. */
    public data class UnknownTarget(
        val target: IntentTarget,
        val name: String,
        val known: List<String>,
    ) : PlanError {
        override val code: String get() = "unknown_${target.name.lowercase()}"
        override val message: String get() = "there is no ${target.words()} $name"
        override val remedy: String get() = namesToUse(known)
    }

    /** No service is named [service]; [known] names some that exist. */
    public data class UnknownService(
        val service: ServiceId,
        val known: List<String>,
    ) : PlanError {
        override val code: String get() = "unknown_service"
        override val message: String get() = "there is no service $service"
        override val remedy: String get() = "create the service first, or ${namesToUse(known)}"
    }

    /** The configuration already is as the intent wants it. */
    public data class AlreadyInEffect(
        val detail: String,
    ) : PlanError {
        override val code: String get() = "already_so"
        override val message: String get() = detail
        override val remedy: String get() = "nothing has to be done; see 'ctl history' for who changed it"
    }

    /** No other failure domain than [failureDomain] is in service. */
    public data class LastFailureDomain(
        val failureDomain: FailureDomainId,
    ) : PlanError {
        override val code: String get() = "last_failure_domain"
        override val message: String get() = "$failureDomain is the last failure domain in service"
        override val remedy: String get() = "return another failure domain first"
    }

    /** The change would leave [service] without an endpoint in service. */
    public data class LastEndpoint(
        val service: ServiceId,
    ) : PlanError {
        override val code: String get() = "last_endpoint"
        override val message: String get() = "service $service would have no endpoint in service"
        override val remedy: String get() = "admit or return an endpoint of $service elsewhere first"
    }

    /** An endpoint named [endpoint] exists. */
    public data class DuplicateEndpoint(
        val endpoint: EndpointId,
    ) : PlanError {
        override val code: String get() = "duplicate_endpoint"
        override val message: String get() = "endpoint $endpoint exists"
        override val remedy: String get() = "choose another name, or remove the endpoint first"
    }

    /** The endpoint [usedBy] has the address [address]. */
    public data class DuplicateAddress(
        val address: NetworkAddress,
        val usedBy: EndpointId,
    ) : PlanError {
        override val code: String get() = "duplicate_address"
        override val message: String get() = "address ${address.ip}:${address.port} belongs to endpoint $usedBy"
        override val remedy: String get() = "give the address that the new endpoint process listens on"
    }

    /** [endpoint] still gets new work. */
    public data class InService(
        val endpoint: EndpointId,
    ) : PlanError {
        override val code: String get() = "endpoint_in_service"
        override val message: String get() = "endpoint $endpoint is in service; its removal would cut its requests"
        override val remedy: String get() = "drain the endpoint first"
    }

    /** [requests] requests still run or wait at [endpoint]. */
    public data class Busy(
        val endpoint: EndpointId,
        val requests: Int,
    ) : PlanError {
        override val code: String get() = "endpoint_busy"
        override val message: String get() =
            "endpoint $endpoint still has $requests requests; its removal would cut them"
        override val remedy: String get() = "plan again when its requests have ended"
    }

    /** A limit of [organisation] is not positive. */
    public data class LimitNotPositive(
        val organisation: OrganisationId,
        val limit: String,
        val value: Long,
    ) : PlanError {
        override val code: String get() = "limit_not_positive"
        override val message: String get() = "$limit of organisation $organisation is $value"
        override val remedy: String get() = "give a number above 0; to lock an organisation out, replace its keys"
    }

    /** The key with this digest belongs to [usedBy]. */
    public data class DuplicateKey(
        val usedBy: OrganisationId,
    ) : PlanError {
        override val code: String get() = "duplicate_key"
        override val message: String get() = "a key belongs to organisation $usedBy, or is given twice"
        override val remedy: String get() = "issue a new key for each organisation"
    }

    /** The model [model] is served by [usedBy]. */
    public data class DuplicateModel(
        val model: String,
        val usedBy: ServiceId,
    ) : PlanError {
        override val code: String get() = "duplicate_model"
        override val message: String get() = "model $model belongs to service $usedBy, or is given twice"
        override val remedy: String get() = "name each model in one service only"
    }

    /** The value [name] of an intent is never right. */
    public data class InvalidValue(
        val name: String,
        val value: String,
        val allowed: String,
    ) : PlanError {
        override val code: String get() = "invalid_value"
        override val message: String get() = "$name is '$value'"
        override val remedy: String get() = "give $allowed"
    }
}

/** Returns the words that messages use for this kind of thing. */
internal fun IntentTarget.words(): String = name.lowercase().replace('_', ' ')

/** Returns the words that messages use for this state. */
internal fun AdmissionState.words(): String = name.lowercase().replace('_', ' ')

private const val MOST_NAMES = 8

private fun namesToUse(known: List<String>): String =
    when {
        known.isEmpty() -> "none exists yet"
        known.size <= MOST_NAMES -> "use one of ${known.joinToString()}"
        else -> "see 'ctl status' for the names, for example ${known.first()}"
    }
