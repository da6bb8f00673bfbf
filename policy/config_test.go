package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
)

// Guards against a call that is routed to a queue with a shorter prefix or to
// one of another host.
func TestRoutesByLongestPrefix(t *testing.T) {
	is := is.New(t)
	c := NewConfig(3, []Queue{
		NewQueue("short", "a.example", "/p/", "press"),
		NewQueue("long", "a.example", "/p/q/", "press"),
		NewQueue("other", "b.example", "/p/q/r/", "press"),
	}, nil)
	for _, row := range []struct {
		host, path string
		queue      order.QueueName
		rest       string
	}{
		{"a.example", "/p/1", "short", "1"},
		{"a.example", "/p/q/1", "long", "1"},
		{"a.example", "/p/q/r/1", "long", "r/1"},
		{"b.example", "/p/q/r/1", "other", "1"},
	} {
		q, rest, ok := c.Route(row.host, row.path)
		is.True(ok)
		is.Equal(q.Name(), row.queue)
		is.Equal(rest, row.rest)
	}
	_, _, ok := c.Route("c.example", "/p/1")
	is.True(!ok)
}

// Guards against a key that is assigned to the wrong team.
func TestTeamOfKey(t *testing.T) {
	is := is.New(t)
	c := NewConfig(1, nil, []Team{
		NewTeam("engravers", []string{"k1", "k2"}, 4, order.NewResources(1000, 0, 0)),
		NewTeam("barges", []string{"k3"}, 2, order.Resources{}),
	})
	team, ok := c.TeamOf("k2")
	is.True(ok)
	is.Equal(team, order.TeamName("engravers"))
	is.Equal(c.Limit(team), order.NewResources(1000, 0, 0))
	is.Equal(c.Weight("barges"), 2.0)
	_, ok = c.TeamOf("k4")
	is.True(!ok)
}

// Guards against a call for advice about many workers that takes longer than
// its sender allows for.
func TestAdviceDurationGrowsWithWorkers(t *testing.T) {
	is := is.New(t)
	a := NewAdvice(500*time.Millisecond, 10*time.Millisecond, 2*time.Second)
	is.Equal(a.Duration(30), 800*time.Millisecond)
	is.Equal(a.MaxWorkersPerCall(), 50)
	is.True(!Advice{}.Needed())
}
