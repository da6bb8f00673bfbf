package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilhollow/platform/standin"
)

type (
	// client hands jobs in, asks for their states and cancels some. It keeps
	// its connection to a host until it breaks, as the platform's clients do.
	client struct {
		cluster *cluster
		random  *rand.Rand
		http    *http.Client
		host    int
		key     func() string

		mu     sync.Mutex
		jobs   []*standin.Job
		faults []string
		calls  int
		served int
	}

	reply struct {
		status int
		state  string
	}
)

const (
	// callLimit is how long a client waits for an answer.
	callLimit = 3 * time.Second

	// tries is how often a client sends a job before it gives up.
	tries = 6

	// lossSlack is how soon after its last byte a request may be cut by a
	// planned stop, by the platform's page.
	lossSlack = 200 * time.Millisecond
)

func newClient(c *cluster, seed uint64, key func() string) *client {
	random := rand.New(rand.NewPCG(seed, 3))
	return &client{
		cluster: c, random: random, key: key, host: random.IntN(len(c.hosts)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// run hands in jobs until the end, each with a pause behind it.
func (c *client) run(end time.Time, pause time.Duration) {
	for time.Now().Before(end) {
		c.one()
		time.Sleep(pause/2 + time.Duration(c.random.Int64N(int64(pause))))
	}
	c.http.CloseIdleConnections()
}

// newJob draws a job: a preview, a proof of two steps, or a gang.
func (c *client) newJob() *standin.Job {
	j := &standin.Job{ID: fmt.Sprintf("%016x", c.random.Uint64()), Spec: fmt.Sprintf("spec %d", c.random.IntN(1000))}
	step := func(tasks int, cpu int64, work time.Duration) standin.Step {
		return standin.Step{Tasks: tasks, CPU: cpu, Memory: 512, Work: work, Fails: 0.03}
	}
	switch c.random.IntN(5) {
	case 0:
		first := step(1+c.random.IntN(4), 1500, time.Duration(500+c.random.IntN(5000))*time.Millisecond)
		first.Saves, first.PerWorker = true, 2
		second := step(1+c.random.IntN(2), 1000, 400*time.Millisecond)
		second.After = []int{0}
		j.Steps = []standin.Step{first, second}
	case 1:
		gang := step(2+c.random.IntN(4), 2000, time.Duration(500+c.random.IntN(4000))*time.Millisecond)
		gang.Gang, gang.Saves, gang.Fails = true, c.random.IntN(2) == 0, 0.01
		j.Steps = []standin.Step{gang}
	default:
		j.Steps = []standin.Step{step(1+c.random.IntN(3), 1000, time.Duration(100+c.random.IntN(500))*time.Millisecond)}
	}
	return j
}

// one hands a job in and follows it for a while.
func (c *client) one() {
	j := c.newJob()
	c.cluster.platform.Add(j)
	refused := true
	for range tries {
		r, err := c.call(http.MethodPost, j)
		switch {
		case err == nil && r.status/100 == 2:
			c.accept(j)
			return
		case err == nil && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable || r.status == http.StatusUnauthorized):
			// The job was not taken by this try.
		case err == nil && r.status/100 == 4:
			c.fault("%s: a valid job is answered %d", j.ID, r.status)
			return
		default:
			refused = false
		}
		c.rotate()
		time.Sleep(100 * time.Millisecond)
	}
	if refused {
		c.cluster.platform.SetRefused(j)
	}
}

func (c *client) accept(j *standin.Job) {
	c.cluster.platform.SetAccepted(j)
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	switch c.random.IntN(10) {
	case 0:
		// A second copy of an accepted job arrives at another host.
		c.rotate()
		if r, err := c.call(http.MethodPost, j); err == nil && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable) {
			return
		}
	case 1:
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
		c.cancel(j)
	default:
		c.ask(j)
	}
}

// cancel cancels the job, until that is acknowledged or the client gives up.
func (c *client) cancel(j *standin.Job) {
	for range tries {
		r, err := c.call(http.MethodDelete, j)
		if err == nil && (r.status/100 == 2 || r.status == http.StatusGone) {
			c.cluster.platform.SetCancelled(j)
			return
		}
		c.rotate()
		time.Sleep(200 * time.Millisecond)
	}
	// Whether it is cancelled is not known, so nothing more is expected of it.
	c.cluster.platform.SetCancelled(j)
}

// ask asks for the state of a job, and checks the answer.
func (c *client) ask(j *standin.Job) (string, error) {
	r, err := c.call(http.MethodGet, j)
	switch {
	case err != nil:
		c.rotate()
		return "", err
	case r.status == http.StatusGone:
		c.cluster.platform.Deny(j)
	case r.status == http.StatusOK:
		c.cluster.platform.Shown(j, r.state)
	}
	return r.state, nil
}

func (c *client) rotate() {
	c.host = (c.host + 1 + c.random.IntN(len(c.cluster.hosts)-1)) % len(c.cluster.hosts)
}

// call makes one call to the client's host.
func (c *client) call(method string, j *standin.Job) (reply, error) {
	h := c.cluster.hosts[c.host]
	var body io.Reader
	if method == http.MethodPost {
		data, err := json.Marshal(j.Document())
		if err != nil {
			return reply{}, err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+h.callers.address()+standin.Path+j.ID, body)
	if err != nil {
		return reply{}, err
	}
	request.Host = standin.Host
	request.GetBody = nil
	request.Header.Set("X-Api-Key", c.key())
	request.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	r, err := c.exchange(request)
	took := time.Since(sent)
	c.mu.Lock()
	c.calls++
	if err == nil {
		c.served++
	}
	c.mu.Unlock()
	if err != nil && took > lossSlack && took < callLimit && h.stoppedAlone() && c.cluster.platform.Calm() {
		c.fault("LOST: %s %s at %s was cut after %s by a planned stop: %v", method, j.ID, h.name, took, err)
	}
	return r, err
}

// stoppedAlone reports whether the process was told to stop and did not end
// otherwise.
func (h *entryHost) stoppedAlone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopped.IsZero() && time.Since(h.stopped) < stopLimit
}

func (c *client) exchange(request *http.Request) (reply, error) {
	c.http.Timeout = callLimit
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, fmt.Errorf("read answer: %w", err)
	}
	r := reply{status: response.StatusCode}
	if response.StatusCode != http.StatusOK || len(data) == 0 {
		return r, nil
	}
	var document struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(data, &document); err != nil {
		return r, errors.Join(errUnreadable, err)
	}
	r.state = document.State
	return r, nil
}

var errUnreadable = errors.New("answer cannot be read")

func (c *client) fault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}
