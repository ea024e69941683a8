package org.cicadaturn.standins

import org.cicadaturn.schema.generated.StoreEvent
import org.cicadaturn.schema.generated.StoreEvents
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Rules for calls without faults. */
val callCases: List<ContractCase> =
    listOf(
        ContractCase("a stored value is read back unchanged", "values that are altered by the encoding") {
            val value = "line\n\"quoted\" \\ \u0000 ü 漢 \uD83D\uDE00"
            val version = create("a/ü ?&=#%/b", value)
            assertStored("a/ü ?&=#%/b", version, value)
        },
        ContractCase("a missing object is not found", "a missing object that is reported as an outage") {
            assertFails(StoreError.NotFound("a"), store.get("a"))
            assertFails(StoreError.NotFound("a"), store.delete("a", Version(1)))
        },
        ContractCase("versions increase across the whole store", "versions that are counted per object") {
            val first = create("a")
            val second = create("b")
            val third = store.put("a", "w", first).value()
            assertTrue(first < second && second < third) { "$first, $second, $third" }
        },
        ContractCase("a put with an old version conflicts", "a lost update") {
            val old = create("a")
            val current = store.put("a", "w", old).value()
            assertFails(StoreError.Conflict(current), store.put("a", "x", old))
            assertStored("a", current, "w")
        },
        ContractCase("a put that expects no object conflicts with an existing one", "two creations of the same key") {
            val current = create("a")
            assertFails(StoreError.Conflict(current), store.put("a", "w", null))
        },
        ContractCase(
            "a put that expects an object conflicts with a missing one",
            "a put that recreates a deleted object",
        ) {
            val version = create("a")
            store.delete("a", version).value()
            assertFails(StoreError.Conflict(null), store.put("a", "w", version))
        },
        ContractCase("a deletion requires the current version", "a deletion of a newer value") {
            val old = create("a")
            val current = store.put("a", "w", old).value()
            assertFails(StoreError.Conflict(current), store.delete("a", old))
            store.delete("a", current).value()
            assertFails(StoreError.NotFound("a"), store.get("a"))
        },
        ContractCase(
            "a list has only the objects below its prefix, sorted by key",
            "a list with objects of an adjacent prefix",
        ) {
            listOf("b/2", "a", "b/1", "b", "c").forEach { create(it) }
            val list = store.list("b/").value()
            assertEquals(listOf("b/1", "b/2"), list.objects.map { it.key })
            assertEquals(store.get("c").value().version, list.version)
        },
        ContractCase("the longest value is accepted and one byte more is rejected", "a limit that counts characters") {
            val fits = "ü".repeat(contractLimits.valueBytes / 2)
            val version = create("a", fits)
            assertFails(
                StoreError.TooLarge(contractLimits.valueBytes + 1, contractLimits.valueBytes),
                store.put("a", fits + "x", version),
            )
            assertStored("a", version, fits)
        },
        ContractCase("invalid calls are rejected", "retries of a call that can never succeed") {
            assertRejected(store.get(""))
            assertRejected(store.put("a", "\uD800", null))
            assertRejected(store.get("\uDC00"))
            assertRejected(store.put("k".repeat(contractLimits.keyChars + 1), "v", null))
            assertRejected(store.watch("", Version(0), (-1).milliseconds))
            assertEquals(0, control.counts().effects)
        },
        ContractCase("each call is counted", "calls that are missing from the counts") {
            val version = create("a")
            store.get("a")
            store.list("a")
            store.watch("a", version, NO_WAIT)
            store.put("a", "w", null)
            store.delete("a", version)
            val counts = control.counts()
            val calls = listOf(counts.gets, counts.lists, counts.puts, counts.deletes, counts.watches)
            assertEquals(listOf(1L, 1L, 2L, 1L, 1L), calls)
            assertEquals(listOf(2L, 1L, 0L), listOf(counts.effects, counts.conflicts, counts.waiting.toLong()))
        },
    )

/** Rules for watches without faults. */
val watchCases: List<ContractCase> =
    listOf(
        ContractCase("a watch delivers changes in order", "a missed change or deletion") {
            val one = create("a/1")
            create("b")
            val two = store.put("a/1", "w", one).value()
            store.delete("a/1", two).value()
            val events = listOf(StoreEvent("a/1", two, "w"), StoreEvent("a/1", Version(4), null))
            assertEquals(StoreEvents(Version(4), events), store.watch("a/", one, NO_WAIT).value())
        },
        ContractCase(
            "a watch without a change continues from the store's version",
            "a watch that fails as compacted although its prefix has no changes",
        ) {
            val from = create("a")
            repeat(3) { create("b/$it") }
            val events = store.watch("a", from, NO_WAIT).value()
            assertEquals(StoreEvents(Version(4), emptyList()), events)
            repeat(3) { create("c/$it") }
            assertEquals(Version(7), store.watch("a", events.version, NO_WAIT).value().version)
        },
        ContractCase("a compacted watch reports where the history begins", "changes that are skipped silently") {
            val first = create("a")
            repeat(4) { create("b/$it") }
            assertEquals(
                4,
                store
                    .watch("", first, NO_WAIT)
                    .value()
                    .events.size,
            )
            create("c")
            assertFails(StoreError.Compacted(Version(2)), store.watch("", first, NO_WAIT))
            assertEquals(
                4,
                store
                    .watch("", Version(2), NO_WAIT)
                    .value()
                    .events.size,
            )
        },
        ContractCase(
            "a watch from a version ahead of the store fails as compacted",
            "an endless wait after the store lost its state",
        ) {
            create("a")
            assertFails(StoreError.Compacted(Version(0)), store.watch("a", Version(9), LONG_WAIT))
        },
        ContractCase(
            "a client that restarts with an old version has to list again",
            "a client that continues from stale state",
        ) {
            val old = create("a", "old")
            var current = old
            repeat(6) { current = store.put("a", "v$it", current).value() }
            val restarted = client(DOMAIN)
            assertFails(StoreError.Compacted(Version(3)), restarted.watch("a", old, LONG_WAIT))
            assertFails(StoreError.Conflict(current), restarted.put("a", "stale", old))
            val list = restarted.list("a").value()
            assertEquals(listOf("v5"), list.objects.map { it.value })
            assertEquals(emptyList<StoreEvent>(), restarted.watch("a", list.version, NO_WAIT).value().events)
        },
    )
