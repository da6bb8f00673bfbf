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
	"chervilhollow/tide"
)

type (
	// sender offers a schedule to the gates.
	sender struct {
		mix    *mixDocument
		clock  tide.Clock
		client *http.Client
		runID  string
		open   atomic.Int64
		ids    sync.Map
		report *report
		wg     sync.WaitGroup
	}

	answerDocument struct {
		ID     string     `json:"id"`
		Code   order.Code `json:"code"`
		Run    string     `json:"run"`
		Result []byte     `json:"result"`
		Waited float64    `json:"waited_ms"`
	}
)

const (
	// answerSlack is how long after its deadline an answer may come before
	// the call is given up.
	answerSlack = 5 * time.Second

	// resendPause keeps a refused request from using up the gates.
	resendPause = 100 * time.Millisecond

	pollWait    = 10 * time.Second
	idleTimeout = 30 * time.Second
	maxAnswer   = 64 << 20
)

func newSender(m *mixDocument, clock tide.Clock, runID string) *sender {
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

// run offers all arrivals at their time, whether or not earlier ones were
// answered, and waits for the answers.
func (s *sender) run(ctx context.Context, all []arrival) *report {
	begin := s.clock.Now()
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	for i := range all {
		if !s.pauseUntil(ctx, begin.Add(all[i].at)) {
			break
		}
		s.dispatch(calls, begin, &all[i])
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

func (s *sender) pauseUntil(ctx context.Context, at time.Time) bool {
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

func (s *sender) dispatch(ctx context.Context, begin time.Time, a *arrival) {
	s.report.lag(s.clock.Now().Sub(begin.Add(a.at)))
	if s.open.Load() >= int64(s.mix.InFlight) {
		s.report.notOffered(a)
		return
	}
	s.open.Add(1)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer s.open.Add(-1)
		s.offer(ctx, begin, a)
	}()
	if a.cancelAt > 0 {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.cancel(ctx, begin, a)
		}()
	}
}

// offer sends one request and records its answer. Times count from the
// planned arrival, so that a slow sender does not hide waiting.
func (s *sender) offer(ctx context.Context, begin time.Time, a *arrival) {
	s.report.sent(a)
	k := &s.mix.Kinds[a.kind]
	request := a.request
	if !k.GateIDs {
		request.ID = s.id(a)
	}
	body, err := json.Marshal(request)
	if err != nil {
		s.report.missing(a, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, begin.Add(a.at+time.Duration(k.Deadline)+answerSlack))
	defer cancel()
	answer, err := s.submit(ctx, a, body)
	if err == nil && answer.Code == order.Pending && k.Detached {
		answer, err = s.awaitResult(ctx, a)
	}
	if err != nil {
		s.report.missing(a, err)
		return
	}
	s.check(a, request.ID, answer)
	s.report.answered(a, answer, s.clock.Now().Sub(begin.Add(a.at)))
}

func (s *sender) id(a *arrival) string { return fmt.Sprintf("%s-%d", s.runID, a.serial) }

// submit sends the request, and sends it again to the next gate if the mix
// allows it and the outcome does.
func (s *sender) submit(ctx context.Context, a *arrival, body []byte) (answerDocument, error) {
	k := &s.mix.Kinds[a.kind]
	for try := 0; ; try++ {
		answer, err := s.call(ctx, http.MethodPost, a, try, "/v1/requests", body)
		again := err != nil || (answer.Code >= 200 && answer.Code < 300 && answer.Code != order.CancelledBeforeRun)
		if !again || !s.mix.Resend || k.GateIDs || ctx.Err() != nil {
			return answer, err
		}
		s.report.resent(a)
		select {
		case <-s.clock.After(resendPause):
		case <-ctx.Done():
			return answer, err
		}
	}
}

// awaitResult asks for the result of a detached request until it has ended.
func (s *sender) awaitResult(ctx context.Context, a *arrival) (answerDocument, error) {
	path := fmt.Sprintf("/v1/requests/%s/result?wait_ms=%d", s.id(a), pollWait.Milliseconds())
	for try := 0; ; try++ {
		answer, err := s.call(ctx, http.MethodGet, a, try, path, nil)
		open := err != nil || answer.Code == order.Pending || answer.Run == order.RunUnknown.String()
		if !open || ctx.Err() != nil {
			return answer, err
		}
		if err == nil && answer.Code == order.Pending {
			continue
		}
		select {
		case <-s.clock.After(resendPause):
		case <-ctx.Done():
			return answer, ctx.Err()
		}
	}
}

func (s *sender) cancel(ctx context.Context, begin time.Time, a *arrival) {
	if !s.pauseUntil(ctx, begin.Add(a.cancelAt)) {
		return
	}
	if _, err := s.call(ctx, http.MethodDelete, a, 0, "/v1/requests/"+s.id(a), nil); err != nil {
		s.report.cancelFailed()
	}
}

// call makes one HTTP call to the gate of the arrival, or a later one on a
// repetition.
func (s *sender) call(ctx context.Context, method string, a *arrival, try int, path string, body []byte) (answerDocument, error) {
	gate := s.mix.Gates[(a.gate+try)%len(s.mix.Gates)]
	r, err := http.NewRequestWithContext(ctx, method, gate+path, bytes.NewReader(body))
	if err != nil {
		return answerDocument{}, err
	}
	r.Header.Set("Authorization", "Bearer "+s.mix.Teams[a.team].Key)
	r.Header.Set("Content-Type", "application/json")
	// The transport would send a request again on its own after a broken
	// connection if it had a way to; each repetition must be counted here.
	r.GetBody = nil
	s.travel(ctx)
	response, err := s.client.Do(r)
	if err != nil {
		return answerDocument{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	s.travel(ctx)
	if err != nil {
		return answerDocument{}, fmt.Errorf("answer cut: %w", err)
	}
	var answer answerDocument
	if err := json.Unmarshal(data, &answer); err != nil {
		return answerDocument{}, fmt.Errorf("answer not readable: %w", err)
	}
	return answer, nil
}

// travel waits for the one-way delay of the mix.
func (s *sender) travel(ctx context.Context) {
	if s.mix.Delay <= 0 {
		return
	}
	select {
	case <-s.clock.After(time.Duration(s.mix.Delay)):
	case <-ctx.Done():
	}
}

// check compares the answer with the request: an answer that names another
// request or carries another result was mixed up, and an ID that is answered
// for two requests was answered twice.
func (s *sender) check(a *arrival, id string, answer answerDocument) {
	if id != "" && answer.ID != "" && answer.ID != id {
		s.report.wrong(a, fmt.Sprintf("answer names request %s instead of %s", answer.ID, id))
	}
	if answer.Code == order.Done && string(answer.Result) != a.result {
		s.report.wrong(a, fmt.Sprintf("result %.80q instead of %q", answer.Result, a.result))
	}
	if answer.Code == order.Done && a.fails {
		s.report.wrong(a, "a task that fails was answered as done")
	}
	if answer.ID == "" {
		return
	}
	if _, twice := s.ids.LoadOrStore(answer.ID, a.serial); twice {
		s.report.twice(a, answer.ID)
	}
}
