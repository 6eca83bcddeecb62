package org.quetzalloom.core.relay.model

/**
 * What is known of a model's response when it begins.
 *
 * @property modelIndex the index of the model among those of the route.
 * @property confidence the model's confidence in the response, from 0 to 100.
 */
public data class ModelResponse(public val modelIndex: Int, public val confidence: Int)
