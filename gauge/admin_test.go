package gauge_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
)

func get(h http.Handler, path string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, strings.TrimSpace(w.Body.String())
}

// Guards against an admin page with another content, and against a stopping
// process that is still ready, so that the load balancer sends it requests.
func TestAdmin(t *testing.T) {
	is := is.New(t)
	reg := gauge.New(zerolog.Nop())
	reg.Count("part.event")
	var ready error
	admin := gauge.NewAdmin(reg,
		gauge.WithReady(func() error { return ready }),
		gauge.WithRevision(func() order.Revision { return 12 }),
		gauge.WithStore(func() bool { return true }))
	for path, want := range map[string]string{
		"/health":      "ok",
		"/ready":       "ready",
		"/metrics":     "part.event 1",
		"/v1/revision": `{"revision":12,"store_reachable":true}`,
	} {
		code, body := get(admin, path)
		is.Equal(code, http.StatusOK)
		is.Equal(body, want)
	}
	ready = errors.New("stopping")
	code, body := get(admin, "/ready")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(body, "stopping")
	code, _ = get(admin, "/health")
	is.Equal(code, http.StatusOK)
}
