package frontend

import (
	"net/http"
	"strings"
	"time"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

// call is one HTTP call. Its team is empty until authenticate has set it.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	team     order.TeamName
	received time.Time

	// isSubmission is true if result codes refer to the request that is being
	// submitted. Otherwise they refer to the call only and say nothing about
	// the run of a request.
	isSubmission bool
}

const bearerPrefix = "Bearer "

// Server returns an HTTP server for this handler with its header and idle
// limits. It has no read timeout, because limitBody sets one for each call.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.limits.headerTimeout,
		IdleTimeout:       g.limits.idleTimeout,
		MaxHeaderBytes:    g.limits.header,
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

func (g *Gateway) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", g.handler(true, g.submit))
	mux.HandleFunc("GET /v1/requests/{id}", g.handler(false, g.status))
	mux.HandleFunc("GET /v1/requests/{id}/result", g.handler(false, g.result))
	mux.HandleFunc("DELETE /v1/requests/{id}", g.handler(false, g.cancel))
	mux.HandleFunc("/", g.handleUnknownPath)
	return mux
}

// handler adds to serve what all calls have in common: the body limits, the
// refusal while the process stops, the key check and the rate limit.
func (g *Gateway) handler(isSubmission bool, serve func(*call) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.limitBody(w, r)
		k := &call{w: w, r: r, received: g.deps.clock.Now(), isSubmission: isSubmission}
		if !g.beginCall() {
			g.write(k, newReply(order.Stopping))
			return
		}
		defer g.openCalls.Done()
		g.write(k, g.serve(k, serve))
	}
}

// serve runs the function for an authenticated call within the limit of open
// calls. A panic is logged and answered with order.Internal.
func (g *Gateway) serve(k *call, serve func(*call) reply) (answer reply) {
	defer func() {
		if fault := recover(); fault != nil {
			g.deps.log.Error().Interface("fault", fault).Msg("counter: panic in a call")
			answer = newReply(order.Internal)
		}
	}()
	select {
	case g.callSlots <- struct{}{}:
		defer func() { <-g.callSlots }()
	default:
		return newReply(order.QueueFull).withText("The gate has too many open calls; wait and send again.")
	}
	if refusal, ok := g.authenticate(k); !ok {
		return refusal
	}
	return serve(k)
}

// authenticate sets the team of the call by its key and takes a token of the
// team's rate limit. It returns a refusal and false if the call is not
// admitted.
func (g *Gateway) authenticate(k *call) (reply, bool) {
	config := g.deps.config()
	if config == nil || !g.deps.admission.MayAccept() {
		return newReply(order.ConfigUncertain), false
	}
	header := k.r.Header.Get("Authorization")
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return newReply(order.KeyUnknown).withText("Send the team's key in the header Authorization: Bearer."), false
	}
	team, state := config.Authenticate(header[len(bearerPrefix):])
	switch state {
	case sheet.KeyUnknown:
		return newReply(order.KeyUnknown), false
	case sheet.KeyWithdrawn:
		return newReply(order.KeyWithdrawn), false
	}
	if _, ok := config.Team(team); !ok {
		return newReply(order.KeyUnknown).withText("The key's team was removed; ask an operator."), false
	}
	k.team = team
	if !g.limiter.allow(team, g.deps.clock.Now()) {
		return newReply(order.RateExceeded), false
	}
	return reply{}, true
}

func (g *Gateway) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	g.limitBody(w, r)
	g.write(&call{w: w, r: r, received: g.deps.clock.Now()}, newReply(order.Malformed).
		withStatus(http.StatusNotFound).
		withText("Use POST /v1/requests, GET or DELETE /v1/requests/{id}, or GET /v1/requests/{id}/result."))
}

// limitBody sets the size limit and the read deadline of the body. The deadline
// also applies while the server discards the body of a call that was refused
// before its body was read.
func (g *Gateway) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.limits.readTimeout))
	r.Body = http.MaxBytesReader(w, r.Body, g.limits.body)
}

// clearReadDeadline removes the read deadline once the body has been read. If
// it passed while the request waits, the server would treat the caller as
// disconnected.
func clearReadDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}
