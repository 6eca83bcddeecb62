package org.quetzalloom.core.relay.model

/**
 * What a model choice may know of the responses that it could get.
 *
 * @property latencies how soon each model could answer the request now.
 * @property confidenceGains how much more confident the models are than one another in the same requests.
 * @property allowsSecondResponse whether there is room to drop a response and ask another model.
 */
public data class ModelOutlook(
    public val latencies: ModelLatencyEstimate = ModelLatencyEstimate(),
    public val confidenceGains: ConfidenceGains = ConfidenceGains(),
    public val allowsSecondResponse: Boolean = true,
)
