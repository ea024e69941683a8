package org.cicadaturn.daemons.start

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.nio.file.Path
import kotlin.io.path.createDirectory

class PortFileTest {
    @TempDir
    lateinit var directory: Path

    /** Guards against a process that serves and ends because its port file cannot be written for a while. */
    @ParameterizedTest
    @EnumSource
    internal fun `a process serves while its port file cannot be written`(role: TestRole) {
        val portDirectory = directory.resolve("later")
        StartedProcess(role, directory, portDirectory = portDirectory).use { process ->
            process.awaitLine("port file is not written and tried again")
            portDirectory.createDirectory()
            process.awaitListening()
            process.signal("TERM")
            assertEquals(0, process.awaitEnd(), "${process.lines()}")
        }
    }
}
