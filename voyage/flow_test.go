package voyage

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"chervilhollow/order"
)

type (
	// flow is a series of requests that callers send through all gates in
	// turn. A caller whose connection breaks sends the same request again to
	// the next gate, as the page of result codes allows.
	flow struct {
		c       *cluster
		name    string
		team    string
		kind    string
		options map[string]bool
		runMS   int
		tasks   int
		limit   time.Duration

		group   sync.WaitGroup
		mu      sync.Mutex
		answers map[string]answer
		faults  []string
	}

	answer struct {
		ID     string  `json:"id"`
		Code   int     `json:"code"`
		Name   string  `json:"name"`
		Text   string  `json:"text"`
		Run    string  `json:"run"`
		State  string  `json:"state"`
		Result []byte  `json:"result"`
		Waited float64 `json:"waited_ms"`

		took time.Duration
	}
)

var flowClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func newFlow(c *cluster, name, team, kind string, runMS int, limit time.Duration, options ...string) *flow {
	f := &flow{
		c: c, name: name, team: team, kind: kind, runMS: runMS, tasks: 1, limit: limit,
		options: make(map[string]bool), answers: make(map[string]answer),
	}
	for _, option := range options {
		if tasks, ok := strings.CutPrefix(option, "tasks="); ok {
			f.tasks, _ = strconv.Atoi(tasks)
		}
		f.options[option] = true
	}
	return f
}

func (f *flow) run(count int, rate float64) {
	start := time.Now()
	for i := range count {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		f.group.Go(func() { f.send(i) })
	}
}

func (f *flow) send(i int) {
	id := fmt.Sprintf("%s-%d", f.name, i)
	want := "result of " + id
	payload := fmt.Sprintf(`{"run_ms":%d,"result":%q}`, f.runMS, want)
	body := fmt.Sprintf(`{"id":%q,"kind":%q,"tasks":%d,"idempotent":%t,"detached":%t,"deadline_ms":%d,"cores":1,"memory_mb":64,"payload":%q}`,
		id, f.kind, f.tasks, f.options["idempotent"], f.options["detached"] || f.options["detached-only"], f.limit.Milliseconds(),
		base64.StdEncoding.EncodeToString([]byte(payload)))
	begin := time.Now()
	a, err := f.exchangeOnceOrTwice(i, body)
	if err == nil && f.options["detached"] && a.Code == 1 {
		a, err = f.await(i, id)
	}
	a.took = time.Since(begin)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil:
		f.faults = append(f.faults, fmt.Sprintf("%s: %v", id, err))
	case a.ID != id && a.Code != int(order.KeyWithdrawn):
		f.faults = append(f.faults, fmt.Sprintf("%s: got the answer of %q", id, a.ID))
	case a.Code == 0 && string(a.Result) != want:
		f.faults = append(f.faults, fmt.Sprintf("%s: got the result %q", id, a.Result))
	}
	f.answers[id] = a
}

// exchangeOnceOrTwice sends a request, with the option "twice" through two
// gates at the same moment; both must then get the same answer.
func (f *flow) exchangeOnceOrTwice(i int, body string) (answer, error) {
	if !f.options["twice"] {
		return f.exchange(i, body)
	}
	var (
		group     sync.WaitGroup
		second    answer
		secondErr error
	)
	group.Go(func() { second, secondErr = f.exchange(i+1, body) })
	first, err := f.exchange(i, body)
	group.Wait()
	if err != nil || secondErr != nil {
		return first, errors.Join(err, secondErr)
	}
	if first.Code != second.Code || string(first.Result) != string(second.Result) {
		return first, fmt.Errorf("two gates answered %d %q and %d %q", first.Code, first.Result, second.Code, second.Result)
	}
	return first, nil
}

// cancel cancels all requests of the flow that are open or not.
func (f *flow) cancel(count int) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			id := fmt.Sprintf("%s-%d", f.name, i)
			_, _ = f.call(http.MethodDelete, f.c.gate(i)+"/v1/requests/"+id, "")
		})
	}
	group.Wait()
}

// exchange sends a request until a gate answers it with something else than a
// refusal that asks to send it again.
func (f *flow) exchange(i int, body string) (answer, error) {
	var (
		last error
		a    answer
	)
	end := time.Now().Add(f.limit + 5*time.Second)
	for attempt := 0; time.Now().Before(end); attempt++ {
		a, last = f.call(http.MethodPost, f.c.gate(i+attempt)+"/v1/requests", body)
		if last == nil && !f.again(a) {
			return a, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return a, fmt.Errorf("no final answer: %w (last code %d %s)", last, a.Code, a.Name)
}

func (f *flow) again(a answer) bool {
	return f.options["insist"] && a.Code >= 200 && a.Code < 300
}

func (f *flow) await(i int, id string) (answer, error) {
	var last error
	end := time.Now().Add(f.limit + 5*time.Second)
	for attempt := 0; time.Now().Before(end); attempt++ {
		a, err := f.call(http.MethodGet, f.c.gate(i+attempt)+"/v1/requests/"+id+"/result?wait_ms=2000", "")
		if err == nil && a.State == "done" {
			return a, nil
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return answer{}, fmt.Errorf("no outcome: %w", last)
}

func (f *flow) call(method, url, body string) (answer, error) {
	var a answer
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return a, err
	}
	request.Header.Set("Authorization", "Bearer "+f.key())
	response, err := flowClient.Do(request)
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(data, &a)
}

func (f *flow) key() string {
	if f.options["withdrawn"] {
		return "clinics-withdrawn-secret"
	}
	return f.team + "-scripted-secret"
}

// codes counts the answers by code.
func (f *flow) codes() map[int]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	codes := make(map[int]int)
	for _, a := range f.answers {
		codes[a.Code]++
	}
	return codes
}

// slowest returns the time of the slowest answer.
func (f *flow) slowest() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var slowest time.Duration
	for _, a := range f.answers {
		slowest = max(slowest, a.took)
	}
	return slowest
}

func (f *flow) summary() string {
	codes := f.codes()
	numbers := make([]int, 0, len(codes))
	for code := range codes {
		numbers = append(numbers, code)
	}
	sort.Ints(numbers)
	parts := make([]string, 0, len(numbers))
	for _, code := range numbers {
		parts = append(parts, fmt.Sprintf("%d x code %d", codes[code], code))
	}
	return fmt.Sprintf("%s: %s, slowest %s", f.name, strings.Join(parts, ", "), f.slowest().Round(time.Millisecond))
}
