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

// Guards against malformed input that makes Decode panic and stops the process.
func FuzzDecode(f *testing.F) {
	data, err := order.Encode(order.StatusMsg{}.WithTeam("toys"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = order.Decode(data)
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
