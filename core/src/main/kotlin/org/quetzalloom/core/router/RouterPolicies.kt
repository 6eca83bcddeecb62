package org.quetzalloom.core.router

import org.quetzalloom.core.backend.ColdStartRamp
import org.quetzalloom.core.backend.LinearRamp
import org.quetzalloom.core.backend.PowerOfTwoChoices
import org.quetzalloom.core.backend.ServerChoice
import org.quetzalloom.core.request.AdmissionPolicy
import org.quetzalloom.core.request.PriorityShares
import org.quetzalloom.core.rollout.RatedSteps
import org.quetzalloom.core.rollout.RolloutPolicy
import org.quetzalloom.core.selection.CheapestConfident
import org.quetzalloom.core.selection.VersionChoice

/** The decisions that can be exchanged, each with the one used by default. */
public data class RouterPolicies(
    public val versionChoice: VersionChoice = CheapestConfident(),
    public val serverChoice: ServerChoice = PowerOfTwoChoices(),
    public val coldStartRamp: ColdStartRamp = LinearRamp,
    public val rollout: RolloutPolicy = RatedSteps(),
    public val admission: AdmissionPolicy = PriorityShares,
)
