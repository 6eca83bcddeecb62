package org.quetzalloom.core.relay.forecast

/** Predicts when a backend server would answer a request. */
public fun interface Forecast {
    /** Returns when the server with [load] would answer [request], or `null` while too little is known. */
    public fun ofOrNull(load: ServerLoad, request: ForecastRequest): ResponseForecast?
}
