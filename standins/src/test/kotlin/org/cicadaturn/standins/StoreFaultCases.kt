package org.cicadaturn.standins

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.cicadaturn.schema.generated.StoreEvent
import org.cicadaturn.schema.generated.StoreFaults
import org.cicadaturn.schema.generated.StoreLag
import org.cicadaturn.schema.generated.StoreMode
import org.cicadaturn.schema.generated.Version
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Rules for writes and reads under faults. */
val faultCases: List<ContractCase> =
    listOf(
        ContractCase("a write whose answer is lost is unanswered and takes effect", "a write that is made twice") {
            control.setFaults(StoreFaults(loseNext = 1))
            assertUnanswered(store.put("a", "v", null))
            assertEquals("v", store.get("a").value().value)
            assertEquals(0, control.faults().loseNext)
            assertEquals(1, control.counts().lostAnswers)
        },
        ContractCase("the answer to a deletion can be lost", "a deletion that is reported as not executed") {
            val version = create("a")
            control.setFaults(StoreFaults(loseNext = 1))
            assertUnanswered(store.delete("a", version))
            assertTrue(
                store
                    .list("a")
                    .value()
                    .objects
                    .isEmpty(),
            )
        },
        ContractCase(
            "only answers to writes that took effect are lost",
            "a conflict that is reported as an unknown outcome",
        ) {
            val version = create("a")
            control.setFaults(StoreFaults(loseNext = 1))
            assertEquals(version, store.get("a").value().version)
            assertTrue(store.put("a", "w", null).isLeft())
            assertEquals(1, control.faults().loseNext)
        },
        ContractCase("the given percentage of answers is lost", "a percentage that loses no answers or all of them") {
            control.setFaults(StoreFaults(losePercent = 50))
            val answered = (1..40).count { store.put("k$it", "v", null).isRight() }
            assertTrue(answered in 1..39) { "$answered of 40 were answered" }
            assertEquals(40, control.counts().effects)
            assertEquals(40L - answered, control.counts().lostAnswers)
        },
        ContractCase("a refusing store is unavailable", "a definite failure that is reported as an unknown outcome") {
            control.setFaults(StoreFaults(mode = StoreMode.REFUSING))
            assertUnavailable(store.put("a", "v", null))
            assertUnavailable(store.get("a"))
            control.setFaults(StoreFaults())
            assertTrue(
                store
                    .list("")
                    .value()
                    .objects
                    .isEmpty(),
            )
        },
        ContractCase("a call to a hanging store is unanswered at the timeout", "a call that never ends") {
            control.setFaults(StoreFaults(mode = StoreMode.HANGING))
            assertUnanswered(shortTimeoutStore.put("a", "v", null))
            assertUnanswered(shortTimeoutStore.get("a"))
            assertUnanswered(shortTimeoutStore.watch("a", Version(0), 10.milliseconds))
            control.setFaults(StoreFaults())
            assertTrue(
                store
                    .list("")
                    .value()
                    .objects
                    .isEmpty(),
            )
        },
        ContractCase("a paused store executes held calls later", "a late write that is assumed to have no effect") {
            control.setFaults(StoreFaults(mode = StoreMode.PAUSED))
            assertUnanswered(shortTimeoutStore.put("a", "late", null))
            control.setFaults(StoreFaults())
            assertEquals("late", store.get("a").value().value)
        },
        ContractCase(
            "a late write does not overwrite a newer one",
            "a delayed write that undoes an accepted change",
            virtualTimeOnly = true,
        ) {
            val old = create("a")
            control.setFaults(StoreFaults(delay = 1.seconds))
            assertUnanswered(shortTimeoutStore.put("a", "late", old))
            control.setFaults(StoreFaults())
            val current = store.put("a", "w", old).value()
            // The delayed put is executed while this watch waits; it must not change the object.
            assertTrue(
                store
                    .watch("a", current, 2.seconds)
                    .value()
                    .events
                    .isEmpty(),
            )
            assertEquals(1, control.counts().conflicts)
        },
        ContractCase(
            "calls from a domain that is cut off are unanswered and have no effect",
            "a cut-off that affects other domains",
        ) {
            control.setFaults(StoreFaults(cutOff = listOf(DOMAIN)))
            assertUnanswered(shortTimeoutClient(DOMAIN).put("a", "v", null))
            client(OTHER_DOMAIN).put("a", "w", null).value()
            control.setFaults(StoreFaults())
            assertEquals("w", store.get("a").value().value)
        },
        ContractCase("lists below a lagging prefix are stale", "stale results of other lists and reads") {
            control.setFaults(StoreFaults(lags = listOf(StoreLag("hosts/", 3_600.seconds))))
            create("hosts/1")
            create("other")
            assertTrue(
                store
                    .list("hosts/")
                    .value()
                    .objects
                    .isEmpty(),
            )
            assertEquals(Version(0), store.list("hosts/1").value().version)
            assertEquals(
                1,
                store
                    .list("other")
                    .value()
                    .objects.size,
            )
            assertEquals("v", store.get("hosts/1").value().value)
            control.setFaults(StoreFaults())
            assertEquals(
                1,
                store
                    .list("hosts/")
                    .value()
                    .objects.size,
            )
        },
    )

/** Rules for waiting watches, with and without faults. */
val waitingCases: List<ContractCase> =
    listOf(
        ContractCase(
            "a waiting watch reports the next change below its prefix",
            "a change that does not end the wait",
        ) {
            coroutineScope {
                val watch = async { store.watch("a/", Version(0), LONG_WAIT) }
                control.awaitWaitingWatches(1)
                create("b")
                assertEquals(1, control.counts().waiting)
                val version = create("a/1")
                assertEquals(listOf(StoreEvent("a/1", version, "v")), watch.await().value().events)
                assertEquals(1, control.counts().watches)
            }
        },
        ContractCase(
            "a store that stops leaves its waiting watches unanswered",
            "a watch that keeps waiting on a lost connection",
        ) {
            coroutineScope {
                val watch = async { store.watch("a", Version(0), LONG_WAIT) }
                control.awaitWaitingWatches(1)
                control.setFaults(StoreFaults(mode = StoreMode.REFUSING))
                assertUnanswered(watch.await())
                assertUnavailable(store.watch("a", Version(0), LONG_WAIT))
                control.setFaults(StoreFaults())
                create("a")
                assertEquals(
                    1,
                    store
                        .watch("a", Version(0), NO_WAIT)
                        .value()
                        .events.size,
                )
            }
        },
        ContractCase(
            "a watch of a store that hangs ends at the timeout",
            "a watch that never ends",
            virtualTimeOnly = true,
        ) {
            coroutineScope {
                val watch = async { shortTimeoutStore.watch("a", Version(0), 5.seconds) }
                control.awaitWaitingWatches(1)
                control.setFaults(StoreFaults(mode = StoreMode.HANGING))
                assertUnanswered(watch.await())
                assertEquals(0, control.counts().waiting)
            }
        },
        ContractCase(
            "cutting off a domain ends only its own waiting watches",
            "a cut-off that affects the watches of other domains",
            virtualTimeOnly = true,
        ) {
            coroutineScope {
                val cut = async { shortTimeoutClient(DOMAIN).watch("a", Version(0), 5.seconds) }
                val other = async { client(OTHER_DOMAIN).watch("a", Version(0), LONG_WAIT) }
                control.awaitWaitingWatches(2)
                control.setFaults(StoreFaults(cutOff = listOf(DOMAIN)))
                client(OTHER_DOMAIN).put("a", "v", null).value()
                assertEquals(
                    1,
                    other
                        .await()
                        .value()
                        .events.size,
                )
                assertUnanswered(cut.await())
            }
        },
        ContractCase(
            "a paused store answers a waiting watch later",
            "a watch that gets no answer because its wait ended during a pause",
            virtualTimeOnly = true,
        ) {
            coroutineScope {
                val watch = async { store.watch("a", Version(0), 50.milliseconds) }
                control.awaitWaitingWatches(1)
                control.setFaults(StoreFaults(mode = StoreMode.PAUSED))
                assertUnanswered(shortTimeoutStore.put("a", "v", null))
                control.setFaults(StoreFaults())
                assertEquals(
                    1,
                    watch
                        .await()
                        .value()
                        .events.size,
                )
            }
        },
    )
