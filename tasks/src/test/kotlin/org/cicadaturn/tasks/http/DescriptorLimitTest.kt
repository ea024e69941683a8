package org.cicadaturn.tasks.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.condition.EnabledOnOs
import org.junit.jupiter.api.condition.OS
import java.nio.file.Path
import kotlin.io.path.readLines

class DescriptorLimitTest {
    /** Guards against a number of descriptors in use or of another limit in place of the limit on open files. */
    @Test
    @EnabledOnOs(OS.LINUX)
    fun `the limit of this process is that of the kernel where nothing else limits it`() {
        val line = Path.of("/proc/self/limits").readLines().first { it.startsWith("Max open files") }
        val softLimit =
            line
                .removePrefix("Max open files")
                .trim()
                .substringBefore(' ')
                .toInt()
        assertEquals(softLimit, allowedDescriptors())
    }
}
