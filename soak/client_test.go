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
	// client submits jobs, checks their states and cancels some. Like the
	// platform's clients, it stays with one host until a call fails.
	client struct {
		cluster    *cluster
		random     *rand.Rand
		httpClient *http.Client
		hostIndex  int
		currentKey func() string

		mu       sync.Mutex
		jobs     []*standin.Job
		failures []string
		calls    int
		answered int
	}

	reply struct {
		status int
		state  string
	}
)

const (
	// callTimeout is how long a client waits for a response.
	callTimeout = 3 * time.Second

	// maxTries is how often a client sends a request that is refused or fails.
	maxTries = 6

	// cutGrace is how soon after its last byte a planned stop may interrupt a
	// request, as the platform documents.
	cutGrace = 200 * time.Millisecond
)

func newClient(c *cluster, seed uint64, currentKey func() string) *client {
	random := rand.New(rand.NewPCG(seed, 3))
	return &client{
		cluster: c, random: random, currentKey: currentKey, hostIndex: random.IntN(len(c.hosts)),
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
}

// run submits jobs until the end, with a pause after each. The pauses are
// random, between half and one and a half times the given one.
func (c *client) run(end time.Time, pause time.Duration) {
	for time.Now().Before(end) {
		c.submitJob()
		time.Sleep(pause/2 + time.Duration(c.random.Int64N(int64(pause))))
	}
	c.httpClient.CloseIdleConnections()
}

// newJob returns a random job: a preview, a proof of two steps, or a gang.
func (c *client) newJob() *standin.Job {
	j := &standin.Job{ID: fmt.Sprintf("%016x", c.random.Uint64()), Spec: fmt.Sprintf("spec %d", c.random.IntN(1000))}
	step := func(tasks int, cpu int64, work time.Duration) standin.Step {
		return standin.Step{Tasks: tasks, CPU: cpu, Memory: 512, Work: work, FailureShare: 0.03}
	}
	switch c.random.IntN(5) {
	case 0:
		first := step(1+c.random.IntN(4), 1500, time.Duration(500+c.random.IntN(5000))*time.Millisecond)
		first.Checkpoints, first.PerWorker = true, 2
		second := step(1+c.random.IntN(2), 1000, 400*time.Millisecond)
		second.After = []int{0}
		j.Steps = []standin.Step{first, second}
	case 1:
		gang := step(2+c.random.IntN(4), 2000, time.Duration(500+c.random.IntN(4000))*time.Millisecond)
		gang.Gang, gang.Checkpoints, gang.FailureShare = true, c.random.IntN(2) == 0, 0.01
		j.Steps = []standin.Step{gang}
	default:
		j.Steps = []standin.Step{step(1+c.random.IntN(3), 1000, time.Duration(100+c.random.IntN(500))*time.Millisecond)}
	}
	return j
}

// submitJob submits a random job, with retries, and records with the platform
// whether it was accepted or refused. A job that is neither after all tries,
// such as after a lost answer, is left unrecorded.
func (c *client) submitJob() {
	j := c.newJob()
	c.cluster.platform.AddJob(j)
	refused := true
	for range maxTries {
		r, err := c.call(http.MethodPost, j)
		switch {
		case err == nil && r.status/100 == 2:
			c.followAccepted(j)
			return
		case err == nil && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable || r.status == http.StatusUnauthorized):
			// This try did not submit the job.
		case err == nil && r.status/100 == 4:
			c.addFailure("%s: valid job answered with status %d", j.ID, r.status)
			return
		default:
			refused = false
		}
		c.switchHost()
		time.Sleep(100 * time.Millisecond)
	}
	if refused {
		c.cluster.platform.SetRefused(j)
	}
}

// followAccepted submits an accepted job again, cancels it or checks its state.
func (c *client) followAccepted(j *standin.Job) {
	c.cluster.platform.SetAccepted(j)
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	switch c.random.IntN(10) {
	case 0:
		// Another host receives a copy of the accepted job.
		c.switchHost()
		if r, err := c.call(http.MethodPost, j); err == nil && (r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable) {
			return
		}
	case 1:
		time.Sleep(time.Duration(c.random.IntN(400)) * time.Millisecond)
		c.cancel(j)
	default:
		c.checkState(j)
	}
}

// cancel cancels the job and retries up to maxTries times until that is
// acknowledged.
func (c *client) cancel(j *standin.Job) {
	for range maxTries {
		r, err := c.call(http.MethodDelete, j)
		if err == nil && (r.status/100 == 2 || r.status == http.StatusGone) {
			c.cluster.platform.SetCancelled(j)
			return
		}
		c.switchHost()
		time.Sleep(200 * time.Millisecond)
	}
	c.cluster.platform.SetCancelUncertain(j)
}

// checkState requests the state of a job and lets the platform check the
// answer.
func (c *client) checkState(j *standin.Job) (string, error) {
	r, err := c.call(http.MethodGet, j)
	switch {
	case err != nil:
		c.switchHost()
		return "", err
	case r.status == http.StatusGone:
		c.cluster.platform.CheckNotFound(j)
	case r.status == http.StatusOK:
		c.cluster.platform.CheckState(j, r.state)
	}
	return r.state, nil
}

// switchHost selects another host at random.
func (c *client) switchHost() {
	c.hostIndex = (c.hostIndex + 1 + c.random.IntN(len(c.cluster.hosts)-1)) % len(c.cluster.hosts)
}

// call sends one request to the client's current host. It records a failure if
// a planned stop interrupts the request after cutGrace and no fault is active.
func (c *client) call(method string, j *standin.Job) (reply, error) {
	h := c.cluster.hosts[c.hostIndex]
	var body io.Reader
	if method == http.MethodPost {
		data, err := json.Marshal(j.Document())
		if err != nil {
			return reply{}, err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+h.callerProxy.address()+standin.Path+j.ID, body)
	if err != nil {
		return reply{}, err
	}
	request.Host = standin.Host
	request.GetBody = nil
	request.Header.Set("X-Api-Key", c.currentKey())
	request.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	r, err := c.exchange(request)
	took := time.Since(sent)
	c.mu.Lock()
	c.calls++
	if err == nil {
		c.answered++
	}
	c.mu.Unlock()
	if err != nil && took > cutGrace && took < callTimeout && h.stoppingAsPlanned() && c.cluster.platform.FaultFree() {
		c.addFailure("LOST: %s %s to %s interrupted after %s by a planned stop: %v", method, j.ID, h.name, took, err)
	}
	return r, err
}

// stoppingAsPlanned reports whether the process received SIGTERM within the
// last stopTimeout. After that time it is killed.
func (h *entryHost) stoppingAsPlanned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopRequested.IsZero() && time.Since(h.stopRequested) < stopTimeout
}

func (c *client) exchange(request *http.Request) (reply, error) {
	c.httpClient.Timeout = callTimeout
	response, err := c.httpClient.Do(request)
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
		return r, errors.Join(errMalformedAnswer, err)
	}
	r.state = document.State
	return r, nil
}

var errMalformedAnswer = errors.New("answer cannot be read")

func (c *client) addFailure(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}
