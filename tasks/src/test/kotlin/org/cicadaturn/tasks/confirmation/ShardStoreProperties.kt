package org.cicadaturn.tasks.confirmation

import arrow.core.getOrElse
import arrow.core.left
import kotlinx.coroutines.test.runTest
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import net.jqwik.api.constraints.StringLength
import org.cicadaturn.decisions.confirmation.LedgerAction
import org.cicadaturn.decisions.confirmation.ReadAnswer
import org.cicadaturn.decisions.confirmation.recordBytes
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ClaimState
import org.cicadaturn.schema.generated.ConfirmationRecord
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.schema.generated.StoredAnswer
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.time.Duration.Companion.nanoseconds

class ShardStoreProperties {
    /**
     * Guards against a value that exceeds the store's limit because the ledger underestimates its length, and against
     * text that is changed by the encoding.
     */
    @Property(seed = "21", tries = 500)
    fun `an encoded shard is no longer than its bound and reads back equal`(
        @ForAll @Size(max = 5) headers: List<
            @StringLength(max = 30)
            String,
        >,
        @ForAll state: ClaimState,
    ) {
        val answer = StoredAnswer(503, headers.map { Header(it, it.reversed()) }, "AAAA")
        val at = harnessStart + 123_456_789.nanoseconds
        val records =
            (1..3).map {
                ConfirmationRecord(Digest("key $it"), Digest("body"), AttemptId("a \"$it\""), state, at, answer)
            }
        runTest {
            val store = FakeStore()
            store.writeShard("shard", LedgerAction.Write(records, expected = null))
            val value = store.get("shard").getOrElse { error(it.message) }
            val bytes = value.value.toByteArray().size
            val bound = records.sumOf { recordBytes(it) } + "{\"records\":[]}".length
            assertTrue(bytes <= bound, "$bytes bytes are over the bound of $bound")
            val hasSurrogates = headers.any { text -> text.any { it.isSurrogate() } }
            if (!hasSurrogates) assertEquals(ReadAnswer.Value(value.version, records), store.readShard("shard"))
        }
    }

    /** Guards against a corrupt value that is read as an empty shard, which would release every claim. */
    @Property(seed = "22", tries = 50)
    fun `an unreadable shard is a failed read`(
        @ForAll @StringLength(max = 40) text: String,
    ) = runTest {
        val store = FakeStore()
        store.put("shard", "[$text", expected = null)
        assertEquals(ReadAnswer.Failed, store.readShard("shard"))
        store.getFault = { StoreError.Rejected(400, "injected").left() }
        assertEquals(ReadAnswer.Failed, store.readShard("shard"))
    }
}
