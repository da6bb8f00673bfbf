package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	fakeGuard struct{ remaining time.Duration }

	fakeSender struct{ sent []order.Msg }
)

func (g *fakeGuard) Remaining() time.Duration { return g.remaining }

func (s *fakeSender) Send(_ order.MemberID, m order.Msg) error {
	s.sent = append(s.sent, m)
	return nil
}

// Guards against an answer that is dropped because the guard had no time left
// for a moment, against answers sent in that time, and against answers in the
// wrong order.
func TestAnswersHeldWhileGuardExpired(t *testing.T) {
	is := is.New(t)
	guard, sender := &fakeGuard{}, &fakeSender{}
	clock := timers.NewManual(time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC))
	q := New("r/03", 1, NewDeps().
		WithClock(clock).
		WithRegistry(gauge.New(zerolog.Nop())).
		WithGuard(guard).
		WithSender(sender))
	first := SendCmd{to: "gate", msg: order.AnswerMsg{}.WithRequest("a")}
	second := SendCmd{to: "gate", msg: order.AnswerMsg{}.WithRequest("b")}
	q.execute([]Command{first})
	q.tick()
	is.Equal(len(sender.sent), 0)
	guard.remaining = time.Second
	q.execute([]Command{second})
	is.Equal(len(sender.sent), 0) // the order of answers is kept
	q.tick()
	is.Equal(len(sender.sent), 2)
	is.Equal(sender.sent[0].(order.AnswerMsg).Request(), order.RequestID("a"))
}
