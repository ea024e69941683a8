package org.cicadaturn.tasks

import java.io.OutputStream
import kotlin.time.Clock

/** Handler of an error after which this process cannot serve any more. */
public typealias FatalErrorHandler = (Error) -> Unit

/** Reports that the thread on which all sockets and coroutines run has ended although it was not closed. */
public class EventLoopEndedError : Error("the event loop thread ended", null, false, false)

/** Passes [error] to the handler of uncaught exceptions of this thread, as if it had ended the thread. */
internal fun reportUncaught(error: Error) {
    val thread = Thread.currentThread()
    thread.uncaughtExceptionHandler.uncaughtException(thread, error)
}

/**
 * Returns [cause] or the error that led to it if the process cannot serve after that error, and null otherwise.
 *
 * After an error of the virtual machine, any coroutine may have lost a message or ended. Two of these errors concern one
 * coroutine or connection only: a recursion that is too deep, and a direct buffer that cannot be reserved until other
 * connections have returned theirs.
 */
public fun fatalErrorIn(cause: Throwable): Error? {
    var next: Throwable? = cause
    var depth = 0
    // Causes may form a cycle.
    while (next != null && depth < MAX_CAUSES) {
        if (next is EventLoopEndedError) return next
        if (next is VirtualMachineError && next !is StackOverflowError && !isDirectBufferLimit(next)) return next
        next = next.cause
        depth += 1
    }
    return null
}

/** The library throws this error itself, so that only its message differs from that of a full heap. */
private fun isDirectBufferLimit(error: Error): Boolean =
    error is OutOfMemoryError && error.message.orEmpty().startsWith("Cannot reserve ")

/**
 * Returns a handler that writes one line to [output] and ends the process with [exitCode].
 *
 * It runs no shutdown hooks, which need memory and the event loop. If the line cannot be formatted because the heap is
 * full, a line that was prepared before is written.
 */
public fun processEnd(
    exitCode: Int,
    output: OutputStream,
): FatalErrorHandler {
    val prepared =
        lineOf(
            exitCode,
            "an error of the virtual machine, probably a full heap",
            HEAP_REMEDY,
        ).encodeToByteArray()
    return { error ->
        try {
            // Lets the thread that writes the log write what the event loop library logged about the cause.
            if (error is EventLoopEndedError) Thread.sleep(LOG_TIME_MS)
            val line = lineOf(exitCode, "$error".replace(lineBreaks, " "), remedyOf(error))
            output.write("${Clock.System.now()} $line".encodeToByteArray())
        } catch (_: Throwable) {
            runCatching { output.write(prepared) }
        } finally {
            Runtime.getRuntime().halt(exitCode)
        }
    }
}

private fun lineOf(
    exitCode: Int,
    cause: String,
    remedy: String,
): String = "FATAL process: ends with exit code $exitCode after $cause; $remedy\n"

private fun remedyOf(error: Error): String =
    when (error) {
        is OutOfMemoryError -> HEAP_REMEDY
        is EventLoopEndedError -> "restart it and report the line of the event loop before this one as a defect"
        else -> "restart it and examine the host and the Java installation"
    }

private val lineBreaks = Regex("[\r\n]")
private const val HEAP_REMEDY = "restart it, and raise -Xmx and the memory of the process if this recurs"
private const val LOG_TIME_MS = 200L
private const val MAX_CAUSES = 16
