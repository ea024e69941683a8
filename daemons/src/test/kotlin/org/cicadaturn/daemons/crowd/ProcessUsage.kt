package org.cicadaturn.daemons.crowd

import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readLines

/** Memory and descriptors of the process [pid], as the system counts them. */
internal class ProcessUsage(
    private val pid: Long,
) {
    /** Most memory that the process has had resident so far, in MB. */
    fun peakMegabytes(): Long =
        Path
            .of("/proc/$pid/status")
            .readLines()
            .first { it.startsWith("VmHWM:") }
            .filter { it.isDigit() }
            .toLong() / KILOBYTES_PER_MEGABYTE

    /** Number of open descriptors. */
    fun descriptors(): Int = Path.of("/proc/$pid/fd").listDirectoryEntries().size

    private companion object {
        const val KILOBYTES_PER_MEGABYTE = 1_024
    }
}
