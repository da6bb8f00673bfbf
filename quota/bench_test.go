package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/quota"
	"chervilhollow/sheet"
	"chervilhollow/storage"
)

const (
	benchTeams  = 64
	benchGroups = 1500
)

// benchCell holds the machines of all partitions. Groups acknowledge at once,
// and every write to the store succeeds.
type benchCell struct {
	machines []*quota.Machine
	now      time.Time
	config   *sheet.Config
	names    []order.GroupID
	written  int
}

func newBenchCell() *benchCell {
	c := &benchCell{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), config: sheet.NewConfig(1)}
	for i := range benchTeams {
		c.config = c.config.WithTeam(sheet.NewTeam(order.TeamName(fmt.Sprintf("team%02d", i)), 1, 1000))
	}
	for i := range benchGroups {
		c.names = append(c.names, order.NewGroupID(order.DomainName(fmt.Sprintf("d%02d", i%30)), fmt.Sprintf("r%04d", i)))
	}
	for i := range order.RequestPartitions {
		c.machines = append(c.machines, quota.NewMachine(order.RequestPartitionAt(i), gauge.New(zerolog.Nop())))
	}
	return c
}

// digests returns the digests of all groups, with waiting tasks distributed at
// random.
func (c *benchCell) digests(seed uint64) []order.GroupDigest {
	r := rand.New(rand.NewPCG(seed, 3))
	digests := make([]order.GroupDigest, 0, len(c.names))
	for _, id := range c.names {
		waiting := make(map[order.TeamName]int)
		for range 8 {
			waiting[order.TeamName(fmt.Sprintf("team%02d", r.IntN(benchTeams)))] = r.IntN(8)
		}
		digests = append(digests, order.GroupDigest{}.
			WithGroup(id).
			WithDomain(id.Domain()).
			WithEpoch(1).
			WithSlots(64).
			WithWaiting(waiting))
	}
	return digests
}

// executeAll executes the commands and those that follow from them until there
// are none left.
func (c *benchCell) executeAll(m *quota.Machine, commands []quota.Command) {
	for len(commands) > 0 {
		cmd := commands[0]
		commands = commands[1:]
		switch cmd := cmd.(type) {
		case quota.ReadCmd:
			commands = append(commands, m.HandleRead(c.now, cmd.Team(), storage.NewEntry(quota.RecordKey(cmd.Team()), nil, 0), nil)...)
		case quota.WriteCmd:
			c.written++
			commands = append(commands, m.HandleWritten(c.now, cmd.Team(), cmd.Expected()+1, nil)...)
		case quota.PostCmd:
			ack := order.AllotAckMsg{}.
				WithTeam(cmd.Msg().Team()).
				WithGroup(cmd.Group()).
				WithCount(cmd.Msg().Count()).
				WithVersion(cmd.Msg().Version()).
				WithEpoch(1)
			commands = append(commands, m.HandleAck(c.now, ack)...)
		}
	}
}

// BenchmarkDivision measures one redivision of the limits of 64 teams over
// 1,500 groups after the demand has changed, including all acknowledgements and
// writes.
func BenchmarkDivision(b *testing.B) {
	c := newBenchCell()
	demands := [][]order.GroupDigest{c.digests(1), c.digests(2)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.now = c.now.Add(quota.DivisionPeriod)
		o := quota.NewObservation(c.config, c.names, demands[i%2], func(order.GroupID) bool { return true })
		for _, m := range c.machines {
			c.executeAll(m, m.Observe(c.now, o))
		}
	}
	b.ReportMetric(float64(c.written)/float64(b.N), "writes/op")
}
