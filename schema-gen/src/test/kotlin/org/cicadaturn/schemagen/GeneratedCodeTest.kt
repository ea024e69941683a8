package org.cicadaturn.schemagen

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText

class GeneratedCodeTest {
    /** Guards against a schema change without regenerated code, and against manual edits of generated code. */
    @Test
    fun `committed code equals the code generated from the schema`() {
        assertCommitted("../schema/src/main/schema", "../schema/src/main/kotlin/org/cicadaturn/schema/generated")
    }

    /** Guards against the same faults in the generated code of the platform's documents. */
    @Test
    fun `committed code of the platform equals the code generated from its schema`() {
        assertCommitted("../platform/src/main/schema", "../platform/src/main/kotlin/org/cicadaturn/platform/generated")
    }

    private fun assertCommitted(
        schema: String,
        committed: String,
    ) {
        val onDisk = Path.of(committed).listDirectoryEntries("*.kt").associate { it.name to it.readText() }
        assertEquals(generate(Path.of(schema)), onDisk, "run bin/generate and commit the result")
    }
}
