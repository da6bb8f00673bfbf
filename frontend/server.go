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
func (h *Handler) Server() *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: h.limits.headerTimeout,
		IdleTimeout:       h.limits.idleTimeout,
		MaxHeaderBytes:    h.limits.header,
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", h.handlerFunc(true, h.submit))
	mux.HandleFunc("GET /v1/requests/{id}", h.handlerFunc(false, h.status))
	mux.HandleFunc("GET /v1/requests/{id}/result", h.handlerFunc(false, h.result))
	mux.HandleFunc("DELETE /v1/requests/{id}", h.handlerFunc(false, h.cancel))
	mux.HandleFunc("/", h.handleUnknownPath)
	return mux
}

// handlerFunc adds to serve what all calls have in common: the body limits, the
// refusal while the process stops, the key check and the rate limit.
func (h *Handler) handlerFunc(isSubmission bool, serve func(*call) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.limitBody(w, r)
		k := &call{w: w, r: r, received: h.deps.clock.Now(), isSubmission: isSubmission}
		if !h.beginCall() {
			h.write(k, newReply(order.Stopping))
			return
		}
		defer h.openCalls.Done()
		h.write(k, h.serve(k, serve))
	}
}

// serve runs the function for an authenticated call within the limit of open
// calls. A panic is logged and answered with order.Internal.
func (h *Handler) serve(k *call, serve func(*call) reply) (answer reply) {
	defer func() {
		if fault := recover(); fault != nil {
			h.deps.log.Error().Interface("fault", fault).Msg("counter: panic in a call")
			answer = newReply(order.Internal)
		}
	}()
	select {
	case h.callSlots <- struct{}{}:
		defer func() { <-h.callSlots }()
	default:
		return newReply(order.QueueFull).withText("The gate has too many open calls; wait and send again.")
	}
	if refusal, ok := h.authenticate(k); !ok {
		return refusal
	}
	return serve(k)
}

// authenticate sets the team of the call by its key and takes a token of the
// team's rate limit. It returns a refusal and false if the call is not
// admitted.
func (h *Handler) authenticate(k *call) (reply, bool) {
	config := h.deps.config()
	if config == nil || !h.deps.admission.MayAccept() {
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
	if !h.limiter.allow(team, h.deps.clock.Now()) {
		return newReply(order.RateExceeded), false
	}
	return reply{}, true
}

func (h *Handler) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	h.limitBody(w, r)
	h.write(&call{w: w, r: r, received: h.deps.clock.Now()}, newReply(order.Malformed).
		withStatus(http.StatusNotFound).
		withText("Use POST /v1/requests, GET or DELETE /v1/requests/{id}, or GET /v1/requests/{id}/result."))
}

// limitBody sets the size limit and the read deadline of the body. The deadline
// also applies while the server discards the body of a call that was refused
// before its body was read.
func (h *Handler) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.limits.readTimeout))
	r.Body = http.MaxBytesReader(w, r.Body, h.limits.body)
}

// clearReadDeadline removes the read deadline once the body has been read. If
// it passed while the request waits, the server would treat the caller as
// disconnected.
func clearReadDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}
