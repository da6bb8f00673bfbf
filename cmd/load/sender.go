package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	// sender sends scheduled requests to the gates and checks the answers.
	// answeredIDs maps each answered request ID to the serial of its arrival.
	sender struct {
		mix         *mixDocument
		clock       timers.Clock
		client      *http.Client
		runID       string
		inFlight    atomic.Int64
		answeredIDs sync.Map
		report      *report
		wg          sync.WaitGroup
	}

	// answerDocument is the part of a gate's answer that load reads.
	answerDocument struct {
		ID       string     `json:"id"`
		Code     order.Code `json:"code"`
		Run      string     `json:"run"`
		Result   []byte     `json:"result"`
		WaitedMS float64    `json:"waited_ms"`
	}
)

const (
	// answerGrace is how long after the deadline of a request the sender still
	// waits for its answer.
	answerGrace = 5 * time.Second

	// resendDelay limits the load that the resends of a refused request put on
	// the gates.
	resendDelay = 100 * time.Millisecond

	resultWait     = 10 * time.Second // long poll for a detached result
	idleTimeout    = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

func newSender(m *mixDocument, clock timers.Clock, runID string) *sender {
	transport := &http.Transport{
		MaxIdleConns:        m.InFlight,
		MaxIdleConnsPerHost: m.InFlight,
		IdleConnTimeout:     idleTimeout,
	}
	return &sender{
		mix: m, clock: clock, runID: runID,
		client: &http.Client{Transport: transport},
		report: newReport(m),
	}
}

// run sends every arrival at its time, whether or not earlier ones were
// answered (open loop), and then waits for the answers, at most for the drain
// time of the mix.
func (s *sender) run(ctx context.Context, arrivals []arrival) *report {
	start := s.clock.Now()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range arrivals {
		if !s.sleepUntil(ctx, start.Add(arrivals[i].offset)) {
			break
		}
		s.dispatch(callCtx, start, &arrivals[i])
	}
	answered := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-s.clock.After(time.Duration(s.mix.Drain)):
		cancel()
		<-answered
	}
	s.client.CloseIdleConnections()
	return s.report
}

// sleepUntil waits until the time and reports false if ctx ended first.
func (s *sender) sleepUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(s.clock.Now())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-s.clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// dispatch starts the goroutines that send one arrival and, if the mix requests
// it, cancel it. If in_flight requests are open, the arrival is not sent.
func (s *sender) dispatch(ctx context.Context, start time.Time, a *arrival) {
	s.report.recordOffer(s.clock.Now().Sub(start.Add(a.offset)))
	if s.inFlight.Load() >= int64(s.mix.InFlight) {
		s.report.recordNotOffered(a)
		return
	}
	s.inFlight.Add(1)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer s.inFlight.Add(-1)
		s.send(ctx, start, a)
	}()
	if a.cancelOffset > 0 {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.cancelRequest(ctx, start, a)
		}()
	}
}

// send sends one request and records its answer. Times count from the planned
// arrival, so that they include the delay of a slow sender.
func (s *sender) send(ctx context.Context, start time.Time, a *arrival) {
	s.report.countSent(a)
	k := &s.mix.Kinds[a.kind]
	request := a.request
	if !k.GateIDs {
		request.ID = s.requestID(a)
	}
	body, err := json.Marshal(request)
	if err != nil {
		s.report.recordMissing(a, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, start.Add(a.offset+time.Duration(k.Deadline)+answerGrace))
	defer cancel()
	answer, err := s.submit(ctx, a, body)
	if err == nil && answer.Code == order.Pending && k.Detached {
		answer, err = s.pollResult(ctx, a)
	}
	if err != nil {
		s.report.recordMissing(a, err)
		return
	}
	s.checkAnswer(a, request.ID, answer)
	s.report.recordAnswer(a, answer, s.clock.Now().Sub(start.Add(a.offset)))
}

// requestID returns an ID that is unique to the run and the arrival.
func (s *sender) requestID(a *arrival) string { return fmt.Sprintf("%s-%d", s.runID, a.serial) }

// submit sends the request. If the mix allows it, it is sent again to the next
// gate after an error or a code that allows a resend.
func (s *sender) submit(ctx context.Context, a *arrival, body []byte) (answerDocument, error) {
	k := &s.mix.Kinds[a.kind]
	for attempt := 0; ; attempt++ {
		answer, err := s.call(ctx, http.MethodPost, a, attempt, "/v1/requests", body)
		resend := err != nil || (answer.Code >= 200 && answer.Code < 300 && answer.Code != order.CancelledBeforeRun)
		if !resend || !s.mix.Resend || k.GateIDs || ctx.Err() != nil {
			return answer, err
		}
		s.report.countResent(a)
		select {
		case <-s.clock.After(resendDelay):
		case <-ctx.Done():
			return answer, err
		}
	}
}

// pollResult polls the result of a detached request until it has ended.
func (s *sender) pollResult(ctx context.Context, a *arrival) (answerDocument, error) {
	path := fmt.Sprintf("/v1/requests/%s/result?wait_ms=%d", s.requestID(a), resultWait.Milliseconds())
	for attempt := 0; ; attempt++ {
		answer, err := s.call(ctx, http.MethodGet, a, attempt, path, nil)
		unresolved := err != nil || answer.Code == order.Pending || answer.Run == order.RunUnknown.String()
		if !unresolved || ctx.Err() != nil {
			return answer, err
		}
		if err == nil && answer.Code == order.Pending {
			continue
		}
		select {
		case <-s.clock.After(resendDelay):
		case <-ctx.Done():
			return answer, ctx.Err()
		}
	}
}

// cancelRequest cancels the arrival's request at its time.
func (s *sender) cancelRequest(ctx context.Context, start time.Time, a *arrival) {
	if !s.sleepUntil(ctx, start.Add(a.cancelOffset)) {
		return
	}
	if _, err := s.call(ctx, http.MethodDelete, a, 0, "/v1/requests/"+s.requestID(a), nil); err != nil {
		s.report.countCancelFailure()
	}
}

// call makes one HTTP call. The first attempt goes to the gate of the arrival,
// each further one to the next gate.
func (s *sender) call(ctx context.Context, method string, a *arrival, attempt int, path string, body []byte) (answerDocument, error) {
	gate := s.mix.Gates[(a.gate+attempt)%len(s.mix.Gates)]
	r, err := http.NewRequestWithContext(ctx, method, gate+path, bytes.NewReader(body))
	if err != nil {
		return answerDocument{}, err
	}
	r.Header.Set("Authorization", "Bearer "+s.mix.Teams[a.team].Key)
	r.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot resend a request by itself after a
	// broken connection. Every resend must be counted in the report.
	r.GetBody = nil
	s.delay(ctx)
	response, err := s.client.Do(r)
	if err != nil {
		return answerDocument{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	s.delay(ctx)
	if err != nil {
		return answerDocument{}, fmt.Errorf("read answer: %w", err)
	}
	var answer answerDocument
	if err := json.Unmarshal(data, &answer); err != nil {
		return answerDocument{}, fmt.Errorf("decode answer: %w", err)
	}
	return answer, nil
}

// delay waits for the one-way network delay of the mix.
func (s *sender) delay(ctx context.Context) {
	if s.mix.Delay <= 0 {
		return
	}
	select {
	case <-s.clock.After(time.Duration(s.mix.Delay)):
	case <-ctx.Done():
	}
}

// checkAnswer compares the answer with the arrival and records a fault for an
// ID or a result of another request, for success where the task must fail, and
// for an ID that was already answered.
func (s *sender) checkAnswer(a *arrival, id string, answer answerDocument) {
	if id != "" && answer.ID != "" && answer.ID != id {
		s.report.recordWrong(a, fmt.Sprintf("answer names request %s instead of %s", answer.ID, id))
	}
	if answer.Code == order.Done && string(answer.Result) != a.wantResult {
		s.report.recordWrong(a, fmt.Sprintf("result %.80q instead of %q", answer.Result, a.wantResult))
	}
	if answer.Code == order.Done && a.shouldFail {
		s.report.recordWrong(a, "a task that must fail was answered as done")
	}
	if answer.ID == "" {
		return
	}
	if _, duplicate := s.answeredIDs.LoadOrStore(answer.ID, a.serial); duplicate {
		s.report.recordDuplicate(a, answer.ID)
	}
}
