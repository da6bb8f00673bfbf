package entryhost

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	// sentMsg is a message with its receiver.
	sentMsg struct {
		to  order.MemberID
		msg order.JobCallMsg
	}

	// recorder is an order.Sender that records the calls sent through it.
	recorder struct{ sent chan sentMsg }
)

const (
	ownerA = order.MemberID("10.0.0.1:7000/a")
	ownerB = order.MemberID("10.0.0.2:7000/b")
)

func newRecorder() *recorder { return &recorder{sent: make(chan sentMsg, 16)} }

func (r *recorder) Send(to order.MemberID, m order.Msg) error {
	r.sent <- sentMsg{to: to, msg: m.(order.JobCallMsg)}
	return nil
}

func newForwarder(r *recorder) *Forwarder {
	return NewForwarder("10.0.0.3:7000/c", r, timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop())
}

// startCall makes a call on a new goroutine and returns channels for its reply
// and its error.
func startCall(f *Forwarder, timeout time.Duration) (<-chan order.JobReplyMsg, <-chan error) {
	replies, errs := make(chan order.JobReplyMsg, 1), make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		r, err := f.Call(ctx, order.JobCallMsg{}.WithVerb(order.SubmitJob).WithPath("/proofs/1"))
		if err != nil {
			errs <- err
			return
		}
		replies <- r
	}()
	return replies, errs
}

// A call that was never sent must fail with ErrNoOwner. If it were reported as
// possibly done, the client would not send it again.
func TestDistinguishesUnsentCall(t *testing.T) {
	is := is.New(t)
	f := newForwarder(newRecorder())
	_, errs := startCall(f, 100*time.Millisecond)
	is.True(errors.Is(<-errs, ErrNoOwner))
	r := newRecorder()
	f = newForwarder(r)
	f.SetOwner(ownerA, 1)
	_, errs = startCall(f, 100*time.Millisecond)
	is.True(errors.Is(<-errs, ErrNoOwner)) // no link to the owner yet
	f.SetLink(ownerA, true)
	_, errs = startCall(f, 100*time.Millisecond)
	is.True(errors.Is(<-errs, ErrNoReply))
	is.Equal((<-r.sent).to, ownerA)
}

// A pending call must be resent when the owner changes, or it waits for the
// former owner until it times out. A refusal by the former owner must
// not end the call.
func TestResendsToNewOwner(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	f := newForwarder(r)
	f.SetOwner(ownerA, 1)
	f.SetLink(ownerA, true)
	f.SetLink(ownerB, true)
	replies, _ := startCall(f, 5*time.Second)
	first := <-r.sent
	f.SetOwner(ownerB, 2)
	second := <-r.sent
	is.Equal(second.to, ownerB)
	is.Equal(second.msg.Call(), first.msg.Call())
	// Refusals of a former owner are ignored.
	f.HandleReply(ownerA, order.JobReplyMsg{}.WithCall(first.msg.Call()).WithCode(order.UnknownRequest))
	f.HandleReply(ownerB, order.JobReplyMsg{}.WithCall(first.msg.Call()).WithCode(order.Done))
	is.Equal((<-replies).Code(), order.Done)
}

// A process that took the cell again must get the pending calls at once, as its
// earlier ownership has dropped them, and no owner in between may replace it.
func TestResendsToOwnerThatTookTheCellAgain(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	f := newForwarder(r)
	f.SetOwner(ownerA, 1)
	f.SetLink(ownerA, true)
	f.SetLink(ownerB, true)
	startCall(f, time.Minute)
	<-r.sent
	f.SetOwner(ownerA, 3)
	is.Equal(len(r.sent), 1)
	is.Equal((<-r.sent).to, ownerA)
	f.SetOwner(ownerB, 2)
	is.Equal(len(r.sent), 0)
}

// Abort must fail pending calls when the process ends. Otherwise their
// connections would be closed without a response.
func TestAbortFailsPendingCalls(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	f := newForwarder(r)
	f.SetOwner(ownerA, 1)
	f.SetLink(ownerA, true)
	_, errs := startCall(f, time.Minute)
	<-r.sent
	f.Abort()
	is.True(errors.Is(<-errs, ErrNoReply))
}

// tick resends and expires the calls of the forwarder until the test ends.
func tick(t *testing.T, f *Forwarder) {
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-time.After(heartbeatTick):
				f.Resend()
			case <-done:
				return
			}
		}
	}()
	t.Cleanup(func() {
		close(done)
		<-stopped
	})
}

// A call that cannot be sent is known not to run. It must be refused at once,
// while its caller still has time for another attempt.
func TestRefusesUnsentCallSoon(t *testing.T) {
	is := is.New(t)
	f := newForwarder(newRecorder())
	tick(t, f)
	f.SetOwner(ownerA, 1)
	began := time.Now()
	_, errs := startCall(f, 10*time.Second)
	is.True(errors.Is(<-errs, ErrNoOwner))
	is.True(time.Since(began) < time.Second)
}

// A call whose owner was lost may have run. Its caller must learn that before
// half of its time has passed.
func TestReportsLostOwnerSoon(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	f := newForwarder(r)
	tick(t, f)
	f.SetOwner(ownerA, 1)
	f.SetLink(ownerA, true)
	began := time.Now()
	_, errs := startCall(f, 10*time.Second)
	<-r.sent
	f.SetLink(ownerA, false)
	is.True(errors.Is(<-errs, ErrNoReply))
	is.True(time.Since(began) < 1800*time.Millisecond)
}

// A call that arrives between the loss of an owner and the link to the next one
// must be sent as soon as that link is open.
func TestSendsWaitingCallOnLink(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	f := newForwarder(r)
	f.SetOwner(ownerB, 2)
	replies, _ := startCall(f, 5*time.Second)
	time.Sleep(10 * time.Millisecond)
	is.Equal(len(r.sent), 0)
	f.SetLink(ownerB, true)
	sent := <-r.sent
	f.HandleReply(ownerB, order.JobReplyMsg{}.WithCall(sent.msg.Call()).WithCode(order.Done))
	is.Equal((<-replies).Code(), order.Done)
}

// A late report of an earlier owner must not send calls to it. After a restart
// the former owner is an earlier run of this process, and no later report would
// correct it.
func TestIgnoresLateReportOfEarlierOwner(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	f := newForwarder(r)
	f.SetLink(ownerA, true)
	f.SetLink(ownerB, true)
	f.SetOwner(ownerB, 2)
	f.SetOwner(ownerA, 1)
	_, _ = startCall(f, 100*time.Millisecond)
	is.Equal((<-r.sent).to, ownerB)
}

// After a restart a process dials the address of its earlier run and so has a
// short link to itself. Its end must not keep the calls from an owner in this
// process.
func TestAlwaysReachesItself(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	f := newForwarder(r)
	f.SetOwner(f.self, 2)
	f.SetLink(f.self, true)
	f.SetLink(f.self, false)
	_, _ = startCall(f, 100*time.Millisecond)
	is.Equal((<-r.sent).to, f.self)
}
