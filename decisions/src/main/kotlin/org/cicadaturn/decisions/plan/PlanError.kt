package org.cicadaturn.decisions.plan

import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.IntentTarget
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.ServiceId

/** Reason why no plan can be made for an intent. */
public sealed interface PlanError {
    /** Stable error code for programs. */
    public val code: String

    /** Description of the error, with the invalid value. */
    public val message: String

    /** Advice to the operator. */
    public val remedy: String

    /** No [target] has the name [name]; [known] contains the existing names. */
    public data class UnknownTarget(
        val target: IntentTarget,
        val name: String,
        val known: List<String>,
    ) : PlanError {
        override val code: String get() = "unknown_${target.name.lowercase()}"
        override val message: String get() = "there is no ${target.displayName()} $name"
        override val remedy: String get() = nameAdvice(known)
    }

    /** No service is named [service]; [known] contains the existing names. */
    public data class UnknownService(
        val service: ServiceId,
        val known: List<String>,
    ) : PlanError {
        override val code: String get() = "unknown_service"
        override val message: String get() = "there is no service $service"
        override val remedy: String get() = "create the service first, or ${nameAdvice(known)}"
    }

    /** The configuration is already as the intent requests. */
    public data class AlreadyInEffect(
        val detail: String,
    ) : PlanError {
        override val code: String get() = "already_so"
        override val message: String get() = detail
        override val remedy: String get() = "nothing has to be done; see 'ctl history' for who changed it"
    }

    /** Only [failureDomain] is in service, so it cannot be drained. */
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

    /** An endpoint named [endpoint] already exists. */
    public data class DuplicateEndpoint(
        val endpoint: EndpointId,
    ) : PlanError {
        override val code: String get() = "duplicate_endpoint"
        override val message: String get() = "endpoint $endpoint exists"
        override val remedy: String get() = "choose another name, or remove the endpoint first"
    }

    /** The endpoint [usedBy] already has the address [address]. */
    public data class DuplicateAddress(
        val address: NetworkAddress,
        val usedBy: EndpointId,
    ) : PlanError {
        override val code: String get() = "duplicate_address"
        override val message: String get() = "address ${address.ip}:${address.port} belongs to endpoint $usedBy"
        override val remedy: String get() = "give the address that the new endpoint process listens on"
    }

    /** [endpoint] still gets new requests, so it cannot be removed. */
    public data class InService(
        val endpoint: EndpointId,
    ) : PlanError {
        override val code: String get() = "endpoint_in_service"
        override val message: String get() = "endpoint $endpoint is in service; its removal would cut its requests"
        override val remedy: String get() = "drain the endpoint first"
    }

    /** [requests] requests still run or wait at [endpoint], so it cannot be removed. */
    public data class Busy(
        val endpoint: EndpointId,
        val requests: Int,
    ) : PlanError {
        override val code: String get() = "endpoint_busy"
        override val message: String get() =
            "endpoint $endpoint still has $requests requests; its removal would cut them"
        override val remedy: String get() = "plan again when its requests have ended"
    }

    /** The [limit] of [organisation] is not positive. */
    public data class LimitNotPositive(
        val organisation: OrganisationId,
        val limit: String,
        val value: Long,
    ) : PlanError {
        override val code: String get() = "limit_not_positive"
        override val message: String get() = "$limit of organisation $organisation is $value"
        override val remedy: String get() = "give a number above 0; to lock an organisation out, replace its keys"
    }

    /** A key already belongs to [usedBy], or is given twice. */
    public data class DuplicateKey(
        val usedBy: OrganisationId,
    ) : PlanError {
        override val code: String get() = "duplicate_key"
        override val message: String get() = "a key belongs to organisation $usedBy, or is given twice"
        override val remedy: String get() = "issue a new key for each organisation"
    }

    /** The model [model] already belongs to [usedBy], or is given twice. */
    public data class DuplicateModel(
        val model: String,
        val usedBy: ServiceId,
    ) : PlanError {
        override val code: String get() = "duplicate_model"
        override val message: String get() = "model $model belongs to service $usedBy, or is given twice"
        override val remedy: String get() = "name each model in one service only"
    }

    /** The [value] of the field [name] of an intent is invalid in any configuration. */
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

/** Returns the name of this target for messages. */
internal fun IntentTarget.displayName(): String = name.lowercase().replace('_', ' ')

/** Returns the name of this state for messages. */
internal fun AdmissionState.displayName(): String = name.lowercase().replace('_', ' ')

private const val MAX_LISTED_NAMES = 8

private fun nameAdvice(known: List<String>): String =
    when {
        known.isEmpty() -> "none exists yet"
        known.size <= MAX_LISTED_NAMES -> "use one of ${known.joinToString()}"
        else -> "see 'ctl status' for the names, for example ${known.first()}"
    }
