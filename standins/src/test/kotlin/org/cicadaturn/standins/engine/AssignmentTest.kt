package org.cicadaturn.standins.engine

import org.cicadaturn.schema.generated.EngineAssignment
import org.cicadaturn.schema.generated.EngineOrder
import org.cicadaturn.schema.generated.EngineOrderKind
import org.cicadaturn.schema.generated.LoadedModel
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

private val loaded = EngineAssignment(listOf(LoadedModel("draft", "1", adapter = false)), fencing = 5)

/** Tests orders to the stand-in engine. */
class AssignmentTest {
    /** Guards against an order with an old token that is applied despite the check, or refused without it. */
    @ParameterizedTest
    @CsvSource("6,true,true,0", "5,true,true,0", "4,true,false,0", "6,false,true,0", "4,false,true,1")
    fun `fencing token is checked only if enabled`(
        fencing: Long,
        check: Boolean,
        applied: Boolean,
        stale: Long,
    ) {
        val order = EngineOrder(EngineOrderKind.CHANGE_ROLE, fencing, name = "prefill")
        val result = loaded.applyOrder(order, nextStep = 1, checkFencing = check)
        assertEquals(applied, result.answer.applied)
        assertEquals(if (applied) "prefill" else "unified", result.assignment.role)
        assertEquals(stale, result.assignment.staleApplied)
        assertEquals(if (applied) maxOf(5, fencing) else 5, result.assignment.fencing)
    }

    /** Guards against orders that change anything other than the model, adapter or version that they name. */
    @Test
    fun `orders load models, adapters and versions`() {
        val result =
            listOf(
                EngineOrder(EngineOrderKind.LOAD_MODEL, 5, "summary", "2"),
                EngineOrder(EngineOrderKind.LOAD_ADAPTER, 5, "tone", "7"),
                EngineOrder(EngineOrderKind.LOAD_VERSION, 5, "draft", "3"),
            ).fold(loaded) { assignment, order -> assignment.applyOrder(order, 1, true).assignment }
        val expected =
            listOf(
                LoadedModel("draft", "3", adapter = false),
                LoadedModel("summary", "2", adapter = false),
                LoadedModel("tone", "7", adapter = true),
            )
        assertEquals(expected, result.models)
    }

    /** Guards against an incomplete order that is applied. */
    @ParameterizedTest
    @CsvSource("LOAD_MODEL,''", "LOAD_VERSION,absent", "EXPERT_MAP,''", "CHANGE_ROLE,''")
    fun `incomplete order is refused`(
        kind: EngineOrderKind,
        name: String,
    ) {
        val result = loaded.applyOrder(EngineOrder(kind, 9, name), 1, true)
        assertFalse(result.answer.applied)
        assertEquals(loaded.copy(refused = 1), result.assignment)
    }

    /** Guards against an expert map that takes effect before or after its step. */
    @Test
    fun `expert map takes effect at its step`() {
        val ordered = loaded.applyOrder(EngineOrder(EngineOrderKind.EXPERT_MAP, 5, expertMap = 8, atStep = 10), 4, true)
        assertEquals(listOf(0L, 8L), listOf(9L, 10L).map { ordered.assignment.atStep(it).expertMap })
        assertEquals(0, ordered.assignment.lateMaps)
        val late = loaded.applyOrder(EngineOrder(EngineOrderKind.EXPERT_MAP, 5, expertMap = 8, atStep = 3), 4, true)
        assertEquals(8, late.assignment.atStep(4).expertMap)
        assertEquals(1, late.assignment.lateMaps)
        assertTrue(
            late.assignment
                .atStep(4)
                .pendingMaps
                .isEmpty(),
        )
    }
}
