package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.admission.Admission
import org.quetzalloom.core.relay.admission.ForecastAdmission
import org.quetzalloom.core.relay.crash.QuarantinePolicy
import org.quetzalloom.core.relay.crash.RepeatedLosses
import org.quetzalloom.core.relay.model.ConfidenceCascade
import org.quetzalloom.core.relay.model.ModelChoice
import org.quetzalloom.core.relay.model.PromptWork
import org.quetzalloom.core.relay.model.WorkEstimate
import org.quetzalloom.core.relay.rollout.ExposurePolicy
import org.quetzalloom.core.relay.rollout.SteppedExposure
import org.quetzalloom.core.relay.server.ForecastPlacement
import org.quetzalloom.core.relay.server.Placement
import org.quetzalloom.core.relay.urgency.TargetUrgency
import org.quetzalloom.core.relay.urgency.Urgency

/** The replaceable decision rules of a relay, with their defaults. */
public data class RelayPolicies(
    public val modelChoice: ModelChoice = ConfidenceCascade(),
    public val placement: Placement = ForecastPlacement(),
    public val workEstimate: WorkEstimate = PromptWork(),
    public val urgency: Urgency = TargetUrgency(),
    public val admission: Admission = ForecastAdmission(),
    public val exposure: ExposurePolicy = SteppedExposure,
    public val quarantine: QuarantinePolicy = RepeatedLosses(),
)
