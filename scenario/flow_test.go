package scenario

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
	// flow is a series of requests that callers send to all gates in turn. If a
	// connection breaks, the caller sends the same request to the next gate, as
	// the documentation of the result codes allows. The options are words of
	// the scripts; insist also resends requests that were refused with a code
	// from 200 to 299.
	flow struct {
		cluster   *cluster
		name      string
		team      string
		kind      string
		options   map[string]bool
		runMillis int
		tasks     int
		deadline  time.Duration

		group    sync.WaitGroup
		mu       sync.Mutex
		answers  map[string]answer
		problems []string
	}

	// answer is the JSON body of a gate's response. duration is the time that
	// the caller waited for it.
	answer struct {
		ID     string  `json:"id"`
		Code   int     `json:"code"`
		Name   string  `json:"name"`
		Text   string  `json:"text"`
		Run    string  `json:"run"`
		State  string  `json:"state"`
		Result []byte  `json:"result"`
		Waited float64 `json:"waited_ms"`

		duration time.Duration
	}
)

var flowClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func newFlow(c *cluster, name, team, kind string, runMS int, limit time.Duration, options ...string) *flow {
	f := &flow{
		cluster: c, name: name, team: team, kind: kind, runMillis: runMS, tasks: 1, deadline: limit,
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
	payload := fmt.Sprintf(`{"run_ms":%d,"result":%q}`, f.runMillis, want)
	body := fmt.Sprintf(`{"id":%q,"kind":%q,"tasks":%d,"idempotent":%t,"detached":%t,"deadline_ms":%d,"cores":1,"memory_mb":64,"payload":%q}`,
		id, f.kind, f.tasks, f.options["idempotent"], f.options["detached"] || f.options["detached-only"], f.deadline.Milliseconds(),
		base64.StdEncoding.EncodeToString([]byte(payload)))
	start := time.Now()
	a, err := f.exchangeWithCopy(i, body)
	if err == nil && f.options["detached"] && a.Code == 1 {
		a, err = f.awaitResult(i, id)
	}
	a.duration = time.Since(start)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil:
		f.problems = append(f.problems, fmt.Sprintf("%s: %v", id, err))
	case a.ID != id && a.Code != int(order.KeyWithdrawn):
		f.problems = append(f.problems, fmt.Sprintf("%s: got the answer for request %q", id, a.ID))
	case a.Code == 0 && string(a.Result) != want:
		f.problems = append(f.problems, fmt.Sprintf("%s: got the result %q", id, a.Result))
	}
	f.answers[id] = a
}

// exchangeWithCopy sends a request. With the option "twice" it sends it to two
// gates at the same time and returns an error if their answers differ.
func (f *flow) exchangeWithCopy(i int, body string) (answer, error) {
	if !f.options["twice"] {
		return f.sendUntilFinal(i, body)
	}
	var (
		group     sync.WaitGroup
		second    answer
		secondErr error
	)
	group.Go(func() { second, secondErr = f.sendUntilFinal(i+1, body) })
	first, err := f.sendUntilFinal(i, body)
	group.Wait()
	if err != nil || secondErr != nil {
		return first, errors.Join(err, secondErr)
	}
	if first.Code != second.Code || string(first.Result) != string(second.Result) {
		return first, fmt.Errorf("two gates answered %d %q and %d %q", first.Code, first.Result, second.Code, second.Result)
	}
	return first, nil
}

// cancel cancels the first count requests of the flow, whether they are open or
// not.
func (f *flow) cancel(count int) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			id := fmt.Sprintf("%s-%d", f.name, i)
			_, _ = f.do(http.MethodDelete, f.cluster.gateURL(i)+"/v1/requests/"+id, "")
		})
	}
	group.Wait()
}

// sendUntilFinal sends a request until a gate gives a final answer, for which
// shouldResend returns false.
func (f *flow) sendUntilFinal(i int, body string) (answer, error) {
	var (
		lastErr error
		a       answer
	)
	end := time.Now().Add(f.deadline + 5*time.Second)
	for attempt := 0; time.Now().Before(end); attempt++ {
		a, lastErr = f.do(http.MethodPost, f.cluster.gateURL(i+attempt)+"/v1/requests", body)
		if lastErr == nil && !f.shouldResend(a) {
			return a, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return a, fmt.Errorf("no final answer: %w (last code %d %s)", lastErr, a.Code, a.Name)
}

func (f *flow) shouldResend(a answer) bool {
	return f.options["insist"] && a.Code >= 200 && a.Code < 300
}

// awaitResult polls for the result of a detached request.
func (f *flow) awaitResult(i int, id string) (answer, error) {
	var lastErr error
	end := time.Now().Add(f.deadline + 5*time.Second)
	for attempt := 0; time.Now().Before(end); attempt++ {
		a, err := f.do(http.MethodGet, f.cluster.gateURL(i+attempt)+"/v1/requests/"+id+"/result?wait_ms=2000", "")
		if err == nil && a.State == "done" {
			return a, nil
		}
		lastErr = err
		time.Sleep(100 * time.Millisecond)
	}
	return answer{}, fmt.Errorf("no outcome: %w", lastErr)
}

func (f *flow) do(method, url, body string) (answer, error) {
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

// countCodes returns the number of answers by result code.
func (f *flow) countCodes() map[int]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	codes := make(map[int]int)
	for _, a := range f.answers {
		codes[a.Code]++
	}
	return codes
}

// slowestAnswer returns the longest time from the first send to the answer.
func (f *flow) slowestAnswer() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var slowest time.Duration
	for _, a := range f.answers {
		slowest = max(slowest, a.duration)
	}
	return slowest
}

func (f *flow) summary() string {
	codes := f.countCodes()
	numbers := make([]int, 0, len(codes))
	for code := range codes {
		numbers = append(numbers, code)
	}
	sort.Ints(numbers)
	parts := make([]string, 0, len(numbers))
	for _, code := range numbers {
		parts = append(parts, fmt.Sprintf("%d x code %d", codes[code], code))
	}
	return fmt.Sprintf("%s: %s, slowest %s", f.name, strings.Join(parts, ", "), f.slowestAnswer().Round(time.Millisecond))
}
