package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.StorePosition

/** What a process does with the entries of a part that the store and the process know differently. */
public sealed interface RestorationStep {
    public val part: FleetPart

    /**
     * The store has been restored from a copy.
     *
     * @property from position of the content before
     * @property to position of the first content of the new era
     * @property kept entries that the copy lacks, or whose older state in the copy is not used
     * @property withheld endpoints that the copy lists in service and that have left
     */
    public data class Restored(
        override val part: FleetPart,
        val from: StorePosition,
        val to: StorePosition,
        val kept: List<String>,
        val withheld: List<String>,
    ) : RestorationStep

    /** Entries that were kept have not been written again in time and are gone. */
    public data class Dropped(
        override val part: FleetPart,
        val entries: List<String>,
    ) : RestorationStep
}
