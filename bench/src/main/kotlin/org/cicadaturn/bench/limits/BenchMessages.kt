package org.cicadaturn.bench.limits

import org.cicadaturn.decisions.limits.LimitRequest
import org.cicadaturn.schema.generated.Frame
import org.cicadaturn.schema.generated.LimitMessage
import org.cicadaturn.schema.generated.OrganisationId
import org.cicadaturn.tasks.wire.encodeFrame

/** Returns the bytes of the smallest message that asks for [request]. */
internal fun askBytes(
    organisation: OrganisationId,
    request: LimitRequest,
): Int = size(LimitMessage.BudgetRequest(organisation, request.id, want = request.tokens))

/** Returns the bytes of the smallest message that answers [request]. */
internal fun grantBytes(
    organisation: OrganisationId,
    request: LimitRequest,
): Int = size(LimitMessage.Grant(organisation, request.id, tokens = request.tokens))

private fun size(message: LimitMessage): Int = encodeFrame(Frame.Limits(listOf(message))).size + Int.SIZE_BYTES
