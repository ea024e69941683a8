package org.cicadaturn.tasks.configuration

import org.cicadaturn.decisions.configuration.digestOf
import org.cicadaturn.schema.generated.Configuration
import org.cicadaturn.schema.generated.Organisation
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.schema.generated.Revision
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Instant

class ConfigurationCodecTest {
    /**
     * Guards against a configuration that is changed by the encoding for the store or for peers.
     *
     * With 870 organisations, the value in the store is long enough to be compressed.
     */
    @ParameterizedTest
    @ValueSource(ints = [0, 1, 870])
    fun `a configuration is the same after both encodings`(organisations: Int) {
        val configuration = configuration(organisations)
        assertEquals(configuration, decodeConfiguration(encodeConfiguration(configuration)).getOrNull())
        assertEquals(configuration, unpackConfiguration(packConfiguration(configuration)).getOrNull())
    }

    /** Guards against an exception in place of an error for a corrupt value. */
    @ParameterizedTest
    @ValueSource(strings = ["", "{", "{}", "not base64!", "H4sIAAAAAAAA", "AAAA"])
    fun `a corrupt value is rejected`(text: String) {
        assertTrue(decodeConfiguration(text).isLeft())
        assertTrue(unpackConfiguration(text.encodeToByteArray()).isLeft())
    }

    private fun configuration(organisations: Int): Configuration =
        Configuration(
            revision = Revision(7),
            acceptedAt = Instant.fromEpochSeconds(1_800_000_000),
            acceptedBy = "operator",
            organisations = List(organisations) { Organisation(OrganisationId("o$it"), listOf(digestOf("$it")), 1, 1) },
        )
}
