package org.quetzalloom.core.router

import org.quetzalloom.core.backend.ColdStartRamp
import org.quetzalloom.core.backend.LinearRamp
import org.quetzalloom.core.backend.PowerOfTwoChoices
import org.quetzalloom.core.backend.ServerChoice
import org.quetzalloom.core.request.AdmissionPolicy
import org.quetzalloom.core.request.PriorityShares
import org.quetzalloom.core.rollout.RolloutPolicy
import org.quetzalloom.core.rollout.SteppedRolloutPolicy
import org.quetzalloom.core.selection.CheapestConfident
import org.quetzalloom.core.selection.VersionChoice

/**
 * The replaceable policies of a router, with their defaults.
 *
 * @property versionChoice chooses the version that a request runs on.
 * @property serverChoice chooses the backend server among those with free capacity.
 * @property coldStartRamp computes the capacity of a backend server while it warms up.
 * @property rollout decides when a roll-out goes on or is aborted.
 * @property admission decides which requests are refused under load.
 */
public data class RouterPolicies(
    public val versionChoice: VersionChoice = CheapestConfident(),
    public val serverChoice: ServerChoice = PowerOfTwoChoices(),
    public val coldStartRamp: ColdStartRamp = LinearRamp,
    public val rollout: RolloutPolicy = SteppedRolloutPolicy(),
    public val admission: AdmissionPolicy = PriorityShares,
)
