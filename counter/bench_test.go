package counter_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"chervilhollow/counter"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/tide"
)

// instant answers each submission at once, in the sender's goroutine.
type instant struct {
	gate *counter.Counter
}

func (i *instant) Owner(order.PartitionID) (order.MemberID, order.Epoch, bool) { return p1, 1, true }

func (i *instant) Send(_ order.MemberID, m order.Msg) error {
	for _, reply := range echo(m) {
		i.gate.Handle(p1, stamped(reply, m))
	}
	return nil
}

func benchConfig() *sheet.Config {
	config := sheet.NewConfig(1).WithTeam(sheet.NewTeam("toys", 1, 100))
	for n := range 256 {
		config = config.WithKey(sheet.NewKey(sheet.HashKey(fmt.Sprintf("key-%d", n)), "toys"))
	}
	return config
}

// BenchmarkKeyCheck measures the check of one key among 256.
func BenchmarkKeyCheck(b *testing.B) {
	config := benchConfig()
	b.ReportAllocs()
	for b.Loop() {
		if _, state := config.Authenticate("key-77"); state != sheet.KeyValid {
			b.Fatal("key refused")
		}
	}
}

// BenchmarkRouting measures the choice of the partition and its owner.
func BenchmarkRouting(b *testing.B) {
	dir := &instant{}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := dir.Owner(order.RequestPartition("toys", "01J0000000000000000000")); !ok {
			b.Fatal("no owner")
		}
	}
}

// BenchmarkSubmit measures the gate's own work for one request, without the
// network: key, body, routing, matching of the answer, encoding.
func BenchmarkSubmit(b *testing.B) {
	config := benchConfig()
	cell := &instant{}
	cell.gate = counter.New(counter.NewDeps(tide.New(), gauge.New(zerolog.Nop()), zerolog.Nop()).
		WithSender(cell).WithDirectory(cell).WithAdmission(always{}).
		WithConfig(func() *sheet.Config { return config }), counter.WithTeamRate(1e9, 1e9))
	body := strings.Replace(good, `"id":"r1",`, "", 1)
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer key-77")
		cell.gate.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			var a answer
			_ = json.Unmarshal(w.Body.Bytes(), &a)
			b.Fatal(a.Name)
		}
	}
}
