package org.cicadaturn.tasks.listen

import org.cicadaturn.schema.generated.NetworkAddress
import java.io.IOException
import java.net.BindException
import java.net.SocketException
import java.nio.channels.UnresolvedAddressException
import java.nio.channels.UnsupportedAddressTypeException

/** Reason why a process does not listen on an address. */
public sealed interface ListenError {
    /** True if the cause may end without a change to the settings or the rights of the process. */
    public val isTransient: Boolean

    /** Cause and remedy, for logs. */
    public val message: String

    /** Another socket holds the port. */
    public data object AddressInUse : ListenError {
        override val isTransient: Boolean get() = true
        override val message: String
            get() =
                "another socket holds the port; if its owner is no process that is still stopping, end it or " +
                    "set another port"
    }

    /** No interface of the machine has the address. */
    public data object AddressAbsent : ListenError {
        override val isTransient: Boolean get() = true
        override val message: String
            get() = "the machine does not have this address; bring its interface up, or set an address of the machine"
    }

    /** The process or the machine has no descriptor left. */
    public data object NoDescriptor : ListenError {
        override val isTransient: Boolean get() = true
        override val message: String get() = "no descriptor is left for the socket; raise the limit of open files"
    }

    /** The system refused the socket for a reason that is not known to be permanent. */
    public data class Refused(
        val detail: String,
    ) : ListenError {
        override val isTransient: Boolean get() = true
        override val message: String get() = "the system refuses it ($detail); examine the network of the machine"
    }

    /** The process has no right to the port. */
    public data object NotPermitted : ListenError {
        override val isTransient: Boolean get() = false
        override val message: String
            get() = "the process has no right to listen there; set a port from 1024 on, or give it CAP_NET_BIND_SERVICE"
    }

    /** The settings name an address or a port that cannot exist. */
    public data class InvalidAddress(
        val detail: String,
    ) : ListenError {
        override val isTransient: Boolean get() = false
        override val message: String
            get() = "this is no address to listen on ($detail); set an IP address of the machine and a port up to 65535"
    }
}

/** Failure to listen that no later attempt can mend. */
public class ListenFailedException(
    address: NetworkAddress,
    error: ListenError,
) : IOException("cannot listen on ${address.ip}:${address.port}: ${error.message}")

/**
 * Returns why an attempt to listen failed with [cause], or null if [cause] is a defect or an error of the virtual machine.
 *
 * The text of the system tells causes apart that have the same type. A text in another language is taken as transient,
 * as a process that waits can be helped, and one that has ended cannot.
 */
public fun listenErrorOf(cause: Throwable): ListenError? =
    generateSequence(cause) { it.cause }.take(MAX_CAUSES).firstNotNullOfOrNull(::ownErrorOf)

private fun ownErrorOf(cause: Throwable): ListenError? {
    val detail = "${cause.javaClass.simpleName}: ${cause.message}"
    return when (cause) {
        is UnresolvedAddressException, is UnsupportedAddressTypeException, is IllegalArgumentException ->
            ListenError.InvalidAddress(detail)
        is BindException, is SocketException, is IOException -> errorOfSystem(cause.message.orEmpty(), detail)
        else -> null
    }
}

private fun errorOfSystem(
    text: String,
    detail: String,
): ListenError =
    when {
        "in use" in text -> ListenError.AddressInUse
        "Cannot assign" in text -> ListenError.AddressAbsent
        "Too many open files" in text -> ListenError.NoDescriptor
        "Permission denied" in text || "Operation not permitted" in text -> ListenError.NotPermitted
        "Unresolved address" in text -> ListenError.InvalidAddress(detail)
        else -> ListenError.Refused(detail)
    }

/** Bound on the chain of causes, which may be a cycle. */
private const val MAX_CAUSES = 16
