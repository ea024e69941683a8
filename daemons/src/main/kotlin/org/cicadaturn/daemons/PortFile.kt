package org.cicadaturn.daemons

import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.retry.exponentialBackoff
import org.cicadaturn.schema.generated.NetworkAddress
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.moveTo
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Writes [ports] to [path] and tries again with pauses while that fails, for example because the disk is full.
 *
 * The process serves without the file, so no failure to write it ends the process.
 */
internal suspend fun keepWritingPorts(
    path: Path,
    ports: Map<String, NetworkAddress>,
) {
    var failures = 0
    while (true) {
        try {
            return writePorts(path, ports)
        } catch (e: IOException) {
            failures += 1
            // The pauses soon reach their bound, so the lines are few.
            logger.warn("process: port file is not written and tried again ({}); free space or set another file", "$e")
            delay(pauses.delayBefore(failures))
        }
    }
}

/** Writes one `name=port` line for each of [ports]; the file is moved into place only when it is complete. */
private fun writePorts(
    path: Path,
    ports: Map<String, NetworkAddress>,
) {
    val partial = path.resolveSibling("${path.fileName}.partial")
    partial.writeText(ports.entries.joinToString("") { (name, address) -> "$name=${address.port}\n" })
    partial.moveTo(path, overwrite = true)
}

private val pauses = exponentialBackoff(100.milliseconds, 10.seconds)
private val logger = LogManager.getLogger("org.cicadaturn.daemons.PortFile")
