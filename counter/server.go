package counter

import (
	"net/http"
	"strings"
	"time"

	"chervilhollow/order"
	"chervilhollow/sheet"
)

// call is one HTTP call of an authenticated team.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	team     order.TeamName
	received time.Time

	// submits tells that codes speak of a submission; otherwise they speak of
	// the call only and say nothing about a run.
	submits bool
}

const bearer = "Bearer "

// Server returns an HTTP server for callers with size and time limits.
func (c *Counter) Server() *http.Server {
	return &http.Server{
		Handler:           c,
		ReadHeaderTimeout: c.limits.headerTimeout,
		IdleTimeout:       c.limits.idleTimeout,
		MaxHeaderBytes:    c.limits.header,
	}
}

// ServeHTTP implements http.Handler.
func (c *Counter) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

func (c *Counter) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", c.handler(true, c.submit))
	mux.HandleFunc("GET /v1/requests/{id}", c.handler(false, c.status))
	mux.HandleFunc("GET /v1/requests/{id}/result", c.handler(false, c.result))
	mux.HandleFunc("DELETE /v1/requests/{id}", c.handler(false, c.cancel))
	mux.HandleFunc("/", c.unknownPath)
	return mux
}

// handler wraps what is common to all calls: the count of open ones, the
// check of the key and the rate of the team.
func (c *Counter) handler(submits bool, serve func(*call) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.limitBody(w, r)
		k := &call{w: w, r: r, received: c.deps.clock.Now(), submits: submits}
		if !c.begin() {
			c.write(k, newReply(order.Stopping))
			return
		}
		defer c.open.Done()
		c.write(k, c.serve(k, serve))
	}
}

func (c *Counter) serve(k *call, serve func(*call) reply) (answer reply) {
	defer func() {
		if fault := recover(); fault != nil {
			c.deps.log.Error().Interface("fault", fault).Msg("counter: call failed")
			answer = newReply(order.Internal)
		}
	}()
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return newReply(order.QueueFull).withText("The gate has too many open calls; wait and send again.")
	}
	if refusal, ok := c.authenticate(k); !ok {
		return refusal
	}
	return serve(k)
}

// authenticate finds the team of the key, and admits the call.
func (c *Counter) authenticate(k *call) (reply, bool) {
	config := c.deps.config()
	if config == nil || !c.deps.admission.MayAccept() {
		return newReply(order.ConfigUncertain), false
	}
	header := k.r.Header.Get("Authorization")
	if len(header) <= len(bearer) || !strings.EqualFold(header[:len(bearer)], bearer) {
		return newReply(order.KeyUnknown).withText("Send the team's key in the header Authorization: Bearer."), false
	}
	team, state := config.Authenticate(header[len(bearer):])
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
	if !c.rates.allow(team, c.deps.clock.Now()) {
		return newReply(order.RateExceeded), false
	}
	return reply{}, true
}

func (c *Counter) unknownPath(w http.ResponseWriter, r *http.Request) {
	c.limitBody(w, r)
	c.write(&call{w: w, r: r, received: c.deps.clock.Now()}, newReply(order.Malformed).
		withStatus(http.StatusNotFound).
		withText("Use POST /v1/requests, GET or DELETE /v1/requests/{id}, or GET /v1/requests/{id}/result."))
}

// limitBody sets the size and time limit of the body. The time limit also
// holds while the server discards the body of a call that was refused before
// it was read.
func (c *Counter) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(c.limits.readTimeout))
	r.Body = http.MaxBytesReader(w, r.Body, c.limits.body)
}

// bodyRead ends the time limit, because the server would otherwise take its
// end for a caller that hung up while its request waits.
func bodyRead(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}
