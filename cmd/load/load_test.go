package main

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"image/png"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
	"go.uber.org/goleak"

	"chervilhollow/order"
	"chervilhollow/settings"
)

// fakeGate answers like a gate whose worker runs as the payload describes. The
// mode selects a fault of its answers; the empty mode has none.
type fakeGate struct {
	mode    string
	posts   atomic.Int64
	once    sync.Once
	results sync.Map
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func (g *fakeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		id := strings.Split(r.URL.Path, "/")[3]
		result, _ := g.results.Load(id)
		_ = json.NewEncoder(w).Encode(result)
		return
	}
	n := g.posts.Add(1)
	var request requestDocument
	var payload payloadDocument
	_ = json.NewDecoder(r.Body).Decode(&request)
	_ = json.Unmarshal(request.Payload, &payload)
	answer := map[string]any{"id": request.ID, "code": 0, "run": "yes", "result": []byte(payload.Result), "waited_ms": 1.5}
	if payload.Fail {
		answer["code"] = order.TaskFailed
	}
	if request.ID == "" {
		answer["id"] = fmt.Sprintf("made-%d", n)
	}
	switch {
	case g.mode == "wrong" && !payload.Fail:
		g.once.Do(func() { answer["result"] = []byte("of another request") })
	case g.mode == "crossed" && n == 3:
		answer["id"] = "another"
	case g.mode == "twice" && request.ID == "":
		answer["id"] = "same"
	case g.mode == "cut" && n == 3:
		panic(http.ErrAbortHandler)
	case g.mode == "refuse" && n%2 == 1:
		answer = map[string]any{"id": request.ID, "code": order.QueueFull, "run": "no"}
	}
	if request.Detached {
		g.results.Store(request.ID, answer)
		answer = map[string]any{"id": request.ID, "code": order.Pending, "run": "unknown"}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func readMix(t *testing.T) mixDocument {
	t.Helper()
	data, err := os.ReadFile("testdata/mix.json")
	if err != nil {
		t.Fatal(err)
	}
	m, err := parseMix("testdata/mix.json", data)
	if err != nil {
		t.Fatal(err)
	}
	m.Duration = settings.Duration(300 * time.Millisecond)
	return m
}

// Guards against runs that cannot be compared because the same seed generated
// different loads, and against arrivals that miss the rates and team weights of
// the mix.
func TestSameSeedSameLoad(t *testing.T) {
	is := is.New(t)
	m := readMix(t)
	m.Duration = settings.Duration(20 * time.Second)
	first, second := schedule(&m), schedule(&m)
	is.Equal(digest(first), digest(second))
	m.Seed++
	is.True(digest(schedule(&m)) != digest(first))
	perKind := make([]float64, len(m.Kinds))
	perTeam := make([]float64, len(m.Teams))
	for i, a := range first {
		is.True(i == 0 || first[i-1].offset <= a.offset)
		perKind[a.kind]++
		if a.kind == 0 {
			perTeam[a.team]++
		}
	}
	for i, n := range perKind {
		want := m.Kinds[i].Rate * 20
		is.True(n > 0.8*want && n < 1.2*want)
	}
	is.True(perTeam[0] > 2.5*perTeam[1] && perTeam[0] < 3.5*perTeam[1])
}

// Guards against a run that passes although an answer is missing, belongs to
// another request or is given twice.
func TestFaultsFailTheRun(t *testing.T) {
	for mode, want := range map[string]string{
		"":        "",
		"wrong":   "instead of",
		"crossed": "answer names request",
		"twice":   "answered twice",
		"cut":     "no answer",
	} {
		t.Run("mode "+mode, func(t *testing.T) {
			is := is.New(t)
			m := readMix(t)
			server := httptest.NewServer(&fakeGate{mode: mode})
			defer server.Close()
			m.Gates = []string{server.URL}
			s := &options{}
			var out bytes.Buffer
			err := s.run(&m, &out)
			is.Equal(err != nil, want != "")
			is.True(strings.Contains(out.String(), want))
		})
	}
}

// Guards against a sender that reports a refusal although a resend would
// succeed: the gate refuses every other request.
func TestResend(t *testing.T) {
	is := is.New(t)
	m := readMix(t)
	m.Kinds = m.Kinds[:1]
	m.Resend = true
	gate := &fakeGate{mode: "refuse"}
	server := httptest.NewServer(gate)
	defer server.Close()
	m.Gates = []string{server.URL}
	var out bytes.Buffer
	is.NoErr((&options{}).run(&m, &out))
	is.True(!strings.Contains(out.String(), "201:"))
}

// Guards against a CSV report, plot or table that other tools cannot read.
func TestReports(t *testing.T) {
	is := is.New(t)
	m := readMix(t)
	server := httptest.NewServer(&fakeGate{})
	defer server.Close()
	m.Gates = []string{server.URL}
	dir := t.TempDir()
	o := &options{csv: filepath.Join(dir, "r.csv"), plot: filepath.Join(dir, "r.png")}
	var out bytes.Buffer
	is.NoErr(o.run(&m, &out))
	for _, word := range []string{"preview", "toys", "all", "waited ms", "301:"} {
		is.True(strings.Contains(out.String(), word))
	}
	file, err := os.Open(o.csv)
	is.NoErr(err)
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	is.NoErr(err)
	is.Equal(len(rows), 1+3*3)
	is.Equal(rows[0][0], "kind")
	is.Equal(rows[1][1], "all")
	is.Equal(rows[1][7], "1.500")
	image, err := os.Open(o.plot)
	is.NoErr(err)
	defer image.Close()
	_, err = png.Decode(image)
	is.NoErr(err)
}

// Guards against an invalid mix that is accepted, or whose faults are reported
// at the wrong lines.
func TestInvalidMixes(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/faults.txtar")
	if err != nil {
		t.Fatal(err)
	}
	files := make(map[string]string)
	for _, f := range archive.Files {
		files[f.Name] = string(f.Data)
	}
	for _, name := range []string{"empty", "many"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := parseMix("mix", []byte(files[name+"/mix"]))
			is.True(err != nil)
			is.Equal(err.Error()+"\n", files[name+"/faults"])
		})
	}
}

// Guards against a help text that leaves out flags or fields of the mix.
func TestHelp(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	_, err := parseFlags([]string{"--help"}, &out)
	is.True(err != nil)
	for _, word := range []string{"-mix", "rate", "cancel_after", "distribution", "weights"} {
		is.True(strings.Contains(out.String(), word))
	}
}
