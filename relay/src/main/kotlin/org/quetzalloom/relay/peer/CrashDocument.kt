package org.quetzalloom.relay.peer

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.quetzalloom.core.relay.crash.ContentKey
import org.quetzalloom.core.relay.crash.CrashReport
import org.quetzalloom.core.relay.crash.ServerRun

/**
 * A [CrashReport] in a beacon. The properties are those of the report; their names are short, as a beacon holds many
 * losses and must fit one datagram.
 */
@Serializable
internal class CrashDocument(
    val key: String,
    @SerialName("at") val position: Int,
    @SerialName("lost") val lossAges: Map<Int, Long> = emptyMap(),
    @SerialName("answered") val answerAge: Long? = null,
    @SerialName("tried") val trialAge: Long? = null,
) {
    /** Returns the report. */
    fun toReport(): CrashReport = CrashReport(
        key = ContentKey(key),
        position = position,
        lossAges = lossAges.entries.associate { ServerRun(it.key) to it.value }.toPersistentMap(),
        answerAgeMilliseconds = answerAge,
        trialAgeMilliseconds = trialAge,
    )

    companion object {
        /** Returns the document of [report]. */
        fun of(report: CrashReport): CrashDocument = CrashDocument(
            key = report.key.value,
            position = report.position,
            lossAges = report.lossAges.entries.associate { it.key.hash to it.value },
            answerAge = report.answerAgeMilliseconds,
            trialAge = report.trialAgeMilliseconds,
        )
    }
}
