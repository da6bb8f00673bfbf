package till

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	settableGuard struct{ left time.Duration }

	sentMessages struct{ all []order.Msg }
)

func (g *settableGuard) Remaining() time.Duration { return g.left }

func (s *sentMessages) Send(_ order.MemberID, m order.Msg) error {
	s.all = append(s.all, m)
	return nil
}

// Guards against an answer that is lost because the owner could not act for a
// moment, and against one that a former owner sends.
func TestAnswersWaitForTheGuard(t *testing.T) {
	is := is.New(t)
	guard, sent := &settableGuard{}, &sentMessages{}
	clock := tide.NewManual(time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC))
	q := New("r/03", 1, NewDeps().
		WithClock(clock).
		WithRegistry(gauge.New(zerolog.Nop())).
		WithGuard(guard).
		WithSender(sent))
	first := SendCmd{to: "gate", msg: order.AnswerMsg{}.WithRequest("a")}
	second := SendCmd{to: "gate", msg: order.AnswerMsg{}.WithRequest("b")}
	q.execute([]Command{first})
	q.tick()
	is.Equal(len(sent.all), 0)
	guard.left = time.Second
	q.execute([]Command{second})
	is.Equal(len(sent.all), 0) // the order of answers is kept
	q.tick()
	is.Equal(len(sent.all), 2)
	is.Equal(sent.all[0].(order.AnswerMsg).Request(), order.RequestID("a"))
}
