package order_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
)

// Guards against a field that is lost when a message is encoded and decoded.
func TestCodecPreservesFields(t *testing.T) {
	is := is.New(t)
	now := time.Now().UTC().Round(time.Microsecond)
	task := order.Task{}.
		WithID(order.NewTaskID("toys", "r1", 0)).
		WithTeam("toys").
		WithKind(order.Preview).
		WithSize(order.Resources{}.WithCores(1500).WithMemory(1 << 30)).
		WithQueued(now).
		WithPayload([]byte("tag"))
	sent := order.BidMsg{}.WithPartition("g/east/r1").WithTask(task).WithAttempt(2)
	data, err := order.Encode(sent)
	is.NoErr(err)
	got, err := order.Decode(data)
	is.NoErr(err)
	bid, ok := got.(order.BidMsg)
	is.True(ok)
	is.Equal(bid.Partition(), sent.Partition())
	is.Equal(bid.Attempt(), order.Attempt(2))
	is.Equal(bid.Task().Size().Cores(), order.MilliCores(1500))
	is.True(bid.Task().Queued().Equal(now))
	is.True(bid.Task().Deadline().IsZero())
	is.Equal(string(bid.Task().Payload()), "tag")
}

// Guards against malformed input that makes Decode panic and stops the process,
// and against a decoded message that the next process cannot decode.
func FuzzDecode(f *testing.F) {
	for _, m := range []order.Msg{
		order.StatusMsg{}.WithTeam("toys"),
		order.HelloMsg{}.WithMember("10.0.0.1:7000/a").WithVersion(1),
		order.JobCallMsg{}.WithCall(1).WithPath("/proofs/1").WithSpec(order.JobSpec{}.WithPayload("p").WithFirst(time.UnixMilli(1)).
			WithSteps([]order.JobStep{order.JobStep{}.WithTasks(2), order.JobStep{}.WithTasks(1).WithAfter([]int{0})})),
		order.JobReplyMsg{}.WithCall(1).WithCode(order.Done),
		order.AdviceReplyMsg{}.WithTickets([]order.WorkerTicket{order.WorkerTicket{}.WithWorker("w1").WithTicket("t")}),
	} {
		data, err := order.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := order.Decode(data)
		if err != nil {
			return
		}
		again, err := order.Encode(m)
		if err != nil {
			return // a year that has no text form
		}
		if _, err := order.Decode(again); err != nil {
			t.Fatalf("%T decoded from %x cannot be decoded again: %v", m, data, err)
		}
	})
}

// Guards against a code that reports "not run" for work that ran. The caller
// would send it again, and it would run twice.
func TestCodeReportsRun(t *testing.T) {
	is := is.New(t)
	is.Equal(order.Done.RunStatus(), order.RunYes)
	is.Equal(order.QueueFull.RunStatus(), order.RunNo)
	is.Equal(order.WorkerLost.RunStatus(), order.RunYes)
	is.Equal(order.OutcomeUnknown.RunStatus(), order.RunUnknown)
	is.Equal(order.Pending.RunStatus(), order.RunUnknown)
	for _, code := range order.Codes() {
		is.True(code.Text() != "")
	}
}
