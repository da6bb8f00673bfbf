package gauge

import (
	"encoding/json"
	"net/http"

	"chervilhollow/order"
)

type (
	// Admin is the HTTP handler of a process's admin address. It serves
	// /metrics, /health, /ready and /v1/revision.
	Admin struct {
		mux      *http.ServeMux
		registry *Registry
		ready    func() error
		revision func() order.Revision
		store    func() bool
	}

	// AdminOption sets an option of NewAdmin.
	AdminOption func(*Admin)

	revisionDocument struct {
		Revision       order.Revision `json:"revision"`
		StoreReachable bool           `json:"store_reachable"`
	}
)

// WithReady sets the readiness check. Its error is the reason why the load
// balancer should not send requests to the process. By default the process is
// ready.
func WithReady(ready func() error) AdminOption {
	return func(a *Admin) { a.ready = ready }
}

// WithRevision sets the function that returns the configuration revision in
// force. By default the revision is zero.
func WithRevision(revision func() order.Revision) AdminOption {
	return func(a *Admin) { a.revision = revision }
}

// WithStore sets the function that reports whether the process can reach the
// store. By default it can't.
func WithStore(reachable func() bool) AdminOption {
	return func(a *Admin) { a.store = reachable }
}

// NewAdmin returns a handler that serves the metrics of the registry.
func NewAdmin(registry *Registry, opts ...AdminOption) *Admin {
	a := &Admin{
		mux:      http.NewServeMux(),
		registry: registry,
		ready:    func() error { return nil },
		revision: func() order.Revision { return 0 },
		store:    func() bool { return false },
	}
	for _, opt := range opts {
		opt(a)
	}
	a.mux.Handle("GET /metrics", registry)
	a.mux.HandleFunc("GET /health", a.serveHealth)
	a.mux.HandleFunc("GET /ready", a.serveReady)
	a.mux.HandleFunc("GET /v1/revision", a.serveRevision)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// serveHealth answers as long as the process runs. A broken invariant doesn't
// make it unhealthy, because a restart would not repair the cause. The metrics
// report it instead.
func (a *Admin) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok")
}

func (a *Admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (a *Admin) serveRevision(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(revisionDocument{
		Revision:       a.revision(),
		StoreReachable: a.store(),
	})
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
