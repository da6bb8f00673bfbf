package frontend_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"chervilhollow/frontend"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/timers"
)

// echoer answers each submission in the goroutine that sends it.
type echoer struct {
	handler *frontend.Handler
}

func (i *echoer) Owner(order.PartitionID) (order.MemberID, order.Epoch, bool) { return p1, 1, true }

func (i *echoer) Send(_ order.MemberID, m order.Msg) error {
	for _, reply := range echo(m) {
		i.handler.Handle(p1, withSequenceOf(reply, m))
	}
	return nil
}

// benchConfig returns a configuration with 256 keys of one team.
func benchConfig() *sheet.Config {
	config := sheet.NewConfig(1).WithTeam(sheet.NewTeam("toys", 1, 100))
	for n := range 256 {
		config = config.WithKey(sheet.NewKey(sheet.HashKey(fmt.Sprintf("key-%d", n)), "toys"))
	}
	return config
}

// BenchmarkKeyCheck measures the authentication of one key among 256.
func BenchmarkKeyCheck(b *testing.B) {
	config := benchConfig()
	b.ReportAllocs()
	for b.Loop() {
		if _, state := config.Authenticate("key-77"); state != sheet.KeyValid {
			b.Fatal("key refused")
		}
	}
}

// BenchmarkRouting measures the mapping of a request ID to its partition and
// owner.
func BenchmarkRouting(b *testing.B) {
	dir := &echoer{}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := dir.Owner(order.RequestPartition("toys", "01J0000000000000000000")); !ok {
			b.Fatal("no owner")
		}
	}
}

// BenchmarkSubmit measures one request without the network: key check, parsing,
// routing, matching of the answer and encoding.
func BenchmarkSubmit(b *testing.B) {
	config := benchConfig()
	owner := &echoer{}
	owner.handler = frontend.New(frontend.NewDeps(timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop()).
		WithSender(owner).WithDirectory(owner).WithAdmission(allowAll{}).
		WithConfig(func() *sheet.Config { return config }), frontend.WithTeamRate(1e9, 1e9))
	body := strings.Replace(validBody, `"id":"r1",`, "", 1)
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer key-77")
		owner.handler.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			var a answer
			_ = json.Unmarshal(w.Body.Bytes(), &a)
			b.Fatal(a.Name)
		}
	}
}
