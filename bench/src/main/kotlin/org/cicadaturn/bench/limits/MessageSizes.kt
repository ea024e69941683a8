package org.cicadaturn.bench.limits

import org.cicadaturn.decisions.limits.LimitRequest
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.tasks.wire.encodeFrame

/** Returns the size in bytes of the smallest frame that requests budget for [request]. */
internal fun budgetRequestBytes(
    organisation: OrganisationId,
    request: LimitRequest,
): Int = frameBytes(LimitMessage.BudgetRequest(organisation, request.id, want = request.tokens))

/** Returns the size in bytes of the smallest frame that grants budget for [request]. */
internal fun grantBytes(
    organisation: OrganisationId,
    request: LimitRequest,
): Int = frameBytes(LimitMessage.Grant(organisation, request.id, tokens = request.tokens))

private fun frameBytes(message: LimitMessage): Int = encodeFrame(Frame.Limits(listOf(message))).size + Int.SIZE_BYTES
